package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.node.client.ClientConnections;
import beamspread.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A node that stalls with open requests while more are sent to it, observed by its clients. Each
 * request must have exactly one complete answer, at most half a second after its deadline unless
 * that had passed before the node could run again. Nothing may be sent to cache servers for a
 * request whose deadline has passed.
 */
class StalledNodeTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** How late an answer may be before its request counts as lost. */
  private static final long SLACK_NANOS = 500 * NANOS_PER_MILLI;

  /** Requests whose deadline is this close to the end of the stall are not judged. */
  private static final long UNJUDGED_NANOS = 60 * NANOS_PER_MILLI;

  private static final int REQUESTS_DURING_STALL = 30;

  /** Requests that are served before the stall, over more than a second. */
  private static final int WARM_UP_REQUESTS = 600;

  @TempDir Path folder;
  private final ExecutorService readers = Executors.newCachedThreadPool();
  private final List<Future<Answered>> answers = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(4711);
  private int lastId;

  /** A request and its answer as the client received it. */
  private record Answered(String id, long dueAt, String first, long answeredAt, String second) {
    boolean isComplete() {
      return first != null
          && (first.equals("VA 5 O" + id) || first.startsWith("SERVER_ERROR "))
          && second == null;
    }
  }

  /** Returns a server that answers reads of keys that begin with f, and nothing else. */
  private static Peers.Server server() throws IOException {
    return new Peers.Server(line -> line.startsWith("mg f") ? Peers.successReply(line) : null);
  }

  private Callable<Answered> reader(Peers.Client client, String id, long dueAt) {
    return () -> {
      String first = client.readLine();
      final long at = System.nanoTime();
      if (first != null && first.startsWith("VA ")) {
        assertThat(client.readLine()).isEqualTo("hello");
      }
      // A no-op command follows: its reply must be the next line, or an extra answer was sent.
      client.send("mn\r\n");
      String second = client.readLine();
      client.close();
      return new Answered(id, dueAt, first, at, "MN".equals(second) ? null : second);
    };
  }

  private void sendRead(InetSocketAddress node, String key, long millis) throws IOException {
    String id = "q" + ++lastId;
    Peers.Client client = new Peers.Client(node);
    long dueAt = System.nanoTime() + millis * NANOS_PER_MILLI;
    client.send("mg " + key + id + " v O" + id + " Pc=read,d=" + millis + "\r\n");
    answers.add(readers.submit(reader(client, id, dueAt)));
  }

  private static void sleepUntil(long until) {
    for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
      LockSupport.parkNanos(left);
    }
  }

  /** Sends some requests that are served, so that the node has statistics on its cache servers. */
  private void warmUp(InetSocketAddress node) throws IOException {
    try (Peers.Client client = new Peers.Client(node)) {
      for (int i = 0; i < WARM_UP_REQUESTS; i++) {
        String id = "w" + ++lastId;
        client.send("mg f" + i % 50 + " v O" + id + " Pc=read,d=3000\r\n");
        assertThat(client.readLine()).isEqualTo("VA 5 O" + id);
        assertThat(client.readLine()).isEqualTo("hello");
        sleepUntil(System.nanoTime() + 2 * NANOS_PER_MILLI);
      }
    }
  }

  /** Sends requests spread evenly over the stall. */
  private void sendDuringStall(InetSocketAddress node, long stalledAt, long millis)
      throws IOException {
    for (int i = 0; i < REQUESTS_DURING_STALL; i++) {
      sleepUntil(stalledAt + millis * NANOS_PER_MILLI * i / REQUESTS_DURING_STALL);
      sendRead(node, i % 3 == 0 ? "f" : "h", 500 + random.nextInt(2500));
    }
    sleepUntil(stalledAt + millis * NANOS_PER_MILLI);
  }

  /**
   * Checks all answers.
   *
   * @param sentOn the lines that the cache servers received
   * @param open how many requests were open when the stall began
   * @return how many answers were unavoidably late
   */
  private int checkAnswers(long resumedAt, List<String> sentOn, int open) throws Exception {
    Set<String> sentIds =
        sentOn.stream().map(line -> Peers.flagValue(line, 'O')).collect(Collectors.toSet());
    int lost = 0;
    for (int i = 0; i < answers.size(); i++) {
      Answered answered = answers.get(i).get();
      assertThat(answered.isComplete()).as("%s", answered).isTrue();
      long lateNanos = answered.answeredAt - answered.dueAt - SLACK_NANOS;
      boolean answerable = answered.dueAt + SLACK_NANOS - resumedAt > UNJUDGED_NANOS;
      if (answerable) {
        assertThat(lateNanos).as("%s", answered).isNegative();
      } else if (lateNanos > 0) {
        lost++;
      }
      boolean expired = resumedAt - answered.dueAt > UNJUDGED_NANOS;
      if (i >= open && expired) {
        assertThat(sentIds).as("sent to a server after its deadline").doesNotContain(answered.id);
      }
    }
    return lost;
  }

  private static int openRequests(ServeProcess node) {
    try {
      return (int) node.status().number("open_requests", 0);
    } catch (IOException | WireException e) {
      return -1;
    }
  }

  private static InetSocketAddress awaitAddress(ServeProcess node) throws InterruptedException {
    InetSocketAddress[] found = new InetSocketAddress[1];
    Peers.await(
        "the node answers",
        () -> {
          try {
            String[] at = node.status().requiredText("listen").split(":");
            found[0] = new InetSocketAddress(at[0], Integer.parseInt(at[1]));
            return true;
          } catch (IOException | WireException e) {
            return false;
          }
        });
    return found[0];
  }

  private static void signal(Process process, String name)
      throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  @ParameterizedTest
  @CsvSource({"20,300", "20,1000", "20,2000", "200,300", "200,1000", "200,2000"})
  void aProcessThatIsStoppedLosesNothingThatItCouldSave(int open, long millis) throws Exception {
    List<Peers.Server> servers = List.of(server(), server(), server(), server());
    Peers.Server[] all = servers.toArray(new Peers.Server[0]);
    ServeProcess node = new ServeProcess(folder, "node");
    try (Peers.Server discovery = Peers.discovery(41, all)) {
      node.configure("127.0.0.1:0", "", discovery, all);
      Files.writeString(
          node.config,
          Files.readString(node.config)
              .replace("\"sockets\":256", "\"sockets\":1024")
              .replace("\"give-up\":2", "\"give-up\":3"));
      Process process = node.launch();
      try {
        InetSocketAddress address = awaitAddress(node);
        warmUp(address);
        for (int i = 0; i < open; i++) {
          sendRead(address, "h", 1000 + random.nextInt(2000));
        }
        Peers.await("all requests are received", () -> openRequests(node) >= open);
        signal(process, "STOP");
        long stalledAt = System.nanoTime();
        sendDuringStall(address, stalledAt, millis);
        signal(process, "CONT");
        long resumedAt = System.nanoTime();
        List<String> sentOn = new ArrayList<>();
        int lost = awaitAndCheckAnswers(resumedAt, servers, sentOn, open);
        System.out.printf("%d open, stopped for %d ms: %d unavoidably late%n", open, millis, lost);
        assertThat(lost).isLessThanOrEqualTo(open);
        Peers.await("no request is left open", () -> openRequests(node) == 0);
      } finally {
        process.destroyForcibly().waitFor();
      }
    } finally {
      for (Peers.Server server : servers) {
        server.close();
      }
      readers.shutdownNow();
    }
  }

  /**
   * Checks the answers once all clients have theirs, so that everything to be sent has been sent.
   */
  private int awaitAndCheckAnswers(
      long resumedAt, List<Peers.Server> servers, List<String> sentOn, int open) throws Exception {
    for (Future<Answered> answered : answers) {
      answered.get();
    }
    servers.forEach(server -> sentOn.addAll(server.lines));
    return checkAnswers(resumedAt, sentOn, open);
  }

  @ParameterizedTest
  @CsvSource({"300", "1000", "2000"})
  void blockedEventLoopLosesNoRequestThatItCouldAnswer(long millis) throws Exception {
    try (Peers.Server server = server();
        Peers.Rig rig = new Peers.Rig(ClientConnections.Limits.defaults(200), 512, server)) {
      warmUp(rig.address);
      for (int i = 0; i < 60; i++) {
        sendRead(rig.address, "h", 1000 + random.nextInt(2000));
      }
      Peers.await("all requests are received", () -> rig.node.openRequests() >= 60);
      long stalledAt = System.nanoTime();
      long resumedAt;
      try (EventLoopHold hold = new EventLoopHold(rig.node, 0)) {
        sendDuringStall(rig.address, stalledAt, millis);
        hold.release();
        resumedAt = System.nanoTime();
      }
      List<String> sentOn = new ArrayList<>();
      int lost = awaitAndCheckAnswers(resumedAt, List.of(server), sentOn, 60);
      System.out.printf("60 open, blocked for %d ms: %d unavoidably late%n", millis, lost);
      assertThat(lost).isLessThanOrEqualTo(60);
    } finally {
      readers.shutdownNow();
    }
  }

  /** A client that disconnects during the stall is not served; another one that stays is. */
  @Test
  void doesNotServeClientThatDisconnectsDuringStall() throws Exception {
    try (Peers.Server server = server();
        Peers.Rig rig = new Peers.Rig(ClientConnections.Limits.defaults(50), server)) {
      Peers.Client connected = rig.client();
      Peers.Client disconnected = rig.client();
      assertThat(connected.send("mn\r\n").readLine()).isEqualTo("MN");
      assertThat(disconnected.send("mn\r\n").readLine()).isEqualTo("MN");
      try (EventLoopHold hold = new EventLoopHold(rig.node, 0)) {
        disconnected.send("mg f1 v Oleaves Pc=read,d=3000\r\n").disconnect();
        disconnected.awaitCloseReceived();
        connected.send("mg f2 v Ostays Pc=read,d=3000\r\n");
        sleepUntil(System.nanoTime() + 200 * NANOS_PER_MILLI);
        hold.release();
        assertThat(connected.readLine()).isEqualTo("VA 5 Ostays");
      }
      assertThat(server.lines).noneMatch(line -> line.contains("Oleaves"));
      Peers.await("no request is left open", () -> rig.node.openRequests() == 0);
      connected.close();
    } finally {
      readers.shutdownNow();
    }
  }
}
