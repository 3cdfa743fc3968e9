package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a node whose direct memory is used up by commands that many clients send at once,
 * and whose event loop then stands still for seconds at each failing reservation (incident 0004).
 */
class PipelinedInputMemoryTest {
  private static final int SENDERS = 100;
  private static final int COMMANDS_EACH = 480;
  private static final int COMMAND_BYTES = 270;

  /** Less than what the senders' commands take if the node keeps them all. */
  private static final String DIRECT_MEMORY = "-XX:MaxDirectMemorySize=8m";

  private static final List<String> JVM_OPTIONS =
      List.of(DIRECT_MEMORY, "--add-opens=java.base/java.nio=ALL-UNNAMED");

  /** Time within which a request has to be answered: its deadline and half a second. */
  private static final long MAX_ANSWER_MILLIS = 5_500;

  private static final int USUAL_REQUESTS = 40;

  @TempDir Path folder;

  private final List<Peers.Client> senders = new ArrayList<>();

  /** Returns commands that no cache server answers. */
  private static String commands(int sender) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < COMMANDS_EACH; i++) {
      String start = "mg slow-" + i;
      String end = " v Ob" + sender + "-" + i + " Pc=read,d=2000\r\n";
      text.append(start).append("x".repeat(COMMAND_BYTES - start.length() - end.length()));
      text.append(end);
    }
    return text.toString();
  }

  private void sendAllAtOnce(InetSocketAddress node) throws IOException {
    for (int i = 0; i < SENDERS; i++) {
      Peers.Client sender = new Peers.Client(node);
      senders.add(sender);
      try {
        sender.send(commands(i));
      } catch (IOException e) {
        // The node has turned this client away already.
      }
    }
  }

  /** Returns the longest time until one of some requests was answered, in milliseconds. */
  private static long longestAnswerMillis(Peers.Client client) throws IOException {
    long longest = 0;
    for (int i = 0; i < USUAL_REQUESTS; i++) {
      long start = System.nanoTime();
      String answer = client.read("u" + i).readLine();
      assertThat(answer).as("request u" + i).isNotNull();
      if (answer.startsWith("VA ")) {
        client.readLine();
      }
      longest = Math.max(longest, (System.nanoTime() - start) / 1_000_000);
    }
    return longest;
  }

  @Test
  void usualRequestsAreAnsweredWhileManyClientsSendManyCommands() throws Exception {
    ServeProcess node = new ServeProcess(folder, "pipelined");
    Process process = null;
    try (Peers.Server server =
            new Peers.Server(line -> line.contains(" Ob") ? null : Peers.successReply(line));
        Peers.Server discovery = Peers.discovery(41, server)) {
      node.configure("127.0.0.1:0", "", discovery, server);
      process = node.launch(JVM_OPTIONS);
      Peers.await("the node reports its status", () -> node.listenAddress() != null);
      InetSocketAddress address = node.listenAddress();
      try (Peers.Client usual = new Peers.Client(address)) {
        longestAnswerMillis(usual);
        sendAllAtOnce(address);
        long millis = longestAnswerMillis(usual);
        System.out.println("longest answer after " + millis + " ms");
        assertThat(millis).isLessThan(MAX_ANSWER_MILLIS);
        assertThat(usual.send("mn\r\n").readLine()).isEqualTo("MN");
      }
      assertThat(Files.readString(node.log)).doesNotContain("OutOfMemory", "OutOfDirectMemory");
    } finally {
      for (Peers.Client sender : senders) {
        sender.close();
      }
      if (process != null) {
        process.destroyForcibly().waitFor();
      }
    }
  }
}
