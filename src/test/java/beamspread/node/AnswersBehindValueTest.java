package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.LeakCheck;
import beamspread.node.client.ClientConnections;
import beamspread.relay.RelaySettings;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Guards against requests that get no answer because a large value before them on the connection
 * breaks off: an answer that may break is not begun while others are owed behind it.
 */
@ExtendWith(LeakCheck.class)
class AnswersBehindValueTest {
  private static final ClientConnections.Limits LIMITS = ClientConnections.Limits.defaults(50);
  private static final int VALUE_BYTES = 1 << 20;
  private static final String VALUE = "v".repeat(VALUE_BYTES);
  private static final String FIRST_PART = VALUE.substring(0, VALUE_BYTES / 3);
  private static final String REST = VALUE.substring(VALUE_BYTES / 3);
  private static final int WRITES = 4;
  private static final String FAILED = "SERVER_ERROR failed";

  private static String head(String command) {
    return "VA " + VALUE_BYTES + " O" + Peers.flagValue(command, 'O') + " h1\r\n";
  }

  /** Begins the value of each read of a large key, and answers all else at once. */
  private static String firstPart(String command) {
    return command.startsWith("mg key-L")
        ? head(command) + FIRST_PART
        : Peers.successReply(command);
  }

  private static String readCommand(int deadlineMillis) {
    return "mg key-L v OL Pc=read,d=" + deadlineMillis + "\r\n";
  }

  private static String writeCommand(int number, int deadlineMillis) {
    return "ms key-w%d 5 Ow%d Pc=put,d=%d\r\nworld\r\n".formatted(number, number, deadlineMillis);
  }

  private static String writeCommands(int deadlineMillis) {
    StringBuilder commands = new StringBuilder();
    for (int i = 0; i < WRITES; i++) {
      commands.append(writeCommand(i, deadlineMillis));
    }
    return commands.toString();
  }

  private static void assertAllWritesAnswered(Peers.Client client) throws Exception {
    for (int i = 0; i < WRITES; i++) {
      assertThat(client.readLine()).isEqualTo("HD Ow" + i + " c77");
    }
  }

  private static void assertWholeValue(Peers.Client client) throws Exception {
    assertThat(client.readLine()).isEqualTo("VA " + VALUE_BYTES + " OL");
    assertThat(client.readBytes(VALUE_BYTES)).hasSize(VALUE_BYTES);
    assertThat(client.readLine()).isEmpty();
  }

  /** Waits until the server has received that many commands whose lines begin like this. */
  private static void awaitCommands(Peers.Server server, String start, int count)
      throws InterruptedException {
    Peers.await(count + " times " + start, () -> received(server, start).size() == count);
  }

  private static List<String> received(Peers.Server server, String start) {
    return server.lines.stream().filter(line -> line.startsWith(start)).toList();
  }

  private static void resetConnectionOfRead(Peers.Server server) throws Exception {
    int read = server.lines.indexOf(received(server, "mg key-L").get(0));
    server.closeConnectionOf(read, true);
  }

  @Test
  void writesThatRanAreAnsweredWhenTheValueBeforeThemBreaksOff() throws Exception {
    try (Peers.Server server = new Peers.Server(AnswersBehindValueTest::firstPart);
        Peers.Rig rig = new Peers.Rig(LIMITS, server);
        Peers.Client client = rig.client()) {
      client.send(readCommand(5000) + writeCommands(5000));
      awaitCommands(server, "ms", WRITES);
      Peers.await("the value has begun", () -> rig.node.relayCounts().openCount() == 1);
      resetConnectionOfRead(server);
      assertThat(client.readLine()).isEqualTo(FAILED);
      assertAllWritesAnswered(client);
    }
  }

  @Test
  void writesUnderWayAreAnsweredWhenTheValueBeforeThemBreaksOff() throws Exception {
    try (Peers.Server server =
            new Peers.Server(line -> line.startsWith("ms") ? null : firstPart(line));
        Peers.Rig rig = new Peers.Rig(LIMITS, server);
        Peers.Client client = rig.client()) {
      client.send(readCommand(5000) + writeCommands(5000));
      awaitCommands(server, "ms", WRITES);
      Peers.await("the value has begun", () -> rig.node.relayCounts().openCount() == 1);
      resetConnectionOfRead(server);
      assertThat(client.readLine()).isEqualTo(FAILED);
      for (String line : received(server, "ms")) {
        server.send(line, Peers.successReply(line));
      }
      assertAllWritesAnswered(client);
    }
  }

  @Test
  void aValueThatFallsSilentHoldsNoAnswerBackBeyondItsDeadline() throws Exception {
    try (Peers.Server server = new Peers.Server(AnswersBehindValueTest::firstPart);
        Peers.Rig rig = new Peers.Rig(LIMITS, server);
        Peers.Client client = rig.client()) {
      long sentAt = System.nanoTime();
      client.send(readCommand(5000) + writeCommands(1000));
      assertThat(client.readLine()).isEqualTo(FAILED);
      assertAllWritesAnswered(client);
      // Half a second after its time an answer is still no lost one.
      assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt)).isLessThan(1500);
      assertThat(rig.node.relayCounts().refusedUnfinished()).isEqualTo(1);
    }
  }

  @Test
  void aSoundValueComesWholeBeforeTheAnswersBehindIt() throws Exception {
    try (Peers.Server server = new Peers.Server(AnswersBehindValueTest::firstPart);
        Peers.Rig rig = new Peers.Rig(LIMITS, server);
        Peers.Client client = rig.client()) {
      client.send(readCommand(5000) + writeCommands(5000));
      awaitCommands(server, "ms", WRITES);
      server.send(received(server, "mg key-L").get(0), REST + "\r\n");
      assertWholeValue(client);
      assertAllWritesAnswered(client);
    }
  }

  @Test
  void aValueThatDoesNotFitIsRefusedBeforeOthers() throws Exception {
    RelaySettings small = RelaySettings.defaults(1 << 19, 60_000_000_000L);
    try (Peers.Server server = new Peers.Server(AnswersBehindValueTest::firstPart);
        Peers.Rig rig = new Peers.Rig(LIMITS, small, server);
        Peers.Client client = rig.client()) {
      client.send(readCommand(5000) + writeCommands(5000));
      assertThat(client.readLine()).isEqualTo(FAILED);
      assertAllWritesAnswered(client);
    }
  }

  /** They take more than the memory for unread answers, and their client reads all it is sent. */
  @Test
  void answersThatWaitForASlowOneAreNotTakenForUnread() throws Exception {
    String value = VALUE.substring(0, 62_000);
    int reads = 31;
    int moreThanTheMemory = 20;
    AtomicInteger answeredReads = new AtomicInteger();
    CountDownLatch writeMayEnd = new CountDownLatch(1);
    Function<String, String> script =
        line -> {
          if (line.startsWith("ms")) {
            awaitUninterruptibly(writeMayEnd);
            return Peers.successReply(line);
          }
          answeredReads.incrementAndGet();
          return "VA 62000 O" + Peers.flagValue(line, 'O') + " h1\r\n" + value + "\r\n";
        };
    Peers.Server[] servers = new Peers.Server[8];
    for (int i = 0; i < servers.length; i++) {
      servers[i] = new Peers.Server(script);
    }
    try (Peers.Rig rig = new Peers.Rig(LIMITS, servers);
        Peers.Client client = rig.client()) {
      client.write("slow");
      for (int i = 0; i < reads; i++) {
        client.read("r" + i);
      }
      Peers.await("most reads are answered", () -> answeredReads.get() >= moreThanTheMemory);
      long answeredAt = System.nanoTime();
      Peers.await("the answers wait", () -> System.nanoTime() - answeredAt > 800_000_000L);
      writeMayEnd.countDown();
      assertThat(client.readLine()).isEqualTo("HD Oslow c77");
      for (int i = 0; i < reads; i++) {
        assertThat(client.readLine()).isEqualTo("VA 62000 Or" + i);
        assertThat(client.readBytes(value.length())).hasSize(value.length());
        assertThat(client.readLine()).isEmpty();
      }
      assertThat(rig.node.status().lostAnswers()).isEmpty();
    } finally {
      for (Peers.Server server : servers) {
        server.close();
      }
    }
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void nothingIsTakenBehindAValueThatIsBeingPassedOn() throws Exception {
    try (Peers.Server server = new Peers.Server(AnswersBehindValueTest::firstPart);
        Peers.Rig rig = new Peers.Rig(LIMITS, server);
        Peers.Client client = rig.client();
        Peers.Client other = rig.client()) {
      client.send(readCommand(5000));
      assertThat(client.readLine()).startsWith("VA ");
      client.send(writeCommands(5000));
      // The turns that the other client takes would have sufficed to send the writes on.
      for (int i = 0; i < 20; i++) {
        assertThat(other.read("s" + i).readLine()).isEqualTo("VA 5 Os" + i);
        assertThat(other.readLine()).isEqualTo("hello");
      }
      resetConnectionOfRead(server);
      assertThat(client.readBytes(VALUE_BYTES).length).isLessThan(VALUE_BYTES);
      assertThat(received(server, "ms")).isEmpty();
    }
  }

  @Test
  void commandsThatWaitedBehindAValueAreTakenWithTheTimeThatIsLeftToThem() throws Exception {
    try (Peers.Server server = new Peers.Server(AnswersBehindValueTest::firstPart);
        Peers.Rig rig = new Peers.Rig(LIMITS, server);
        Peers.Client client = rig.client()) {
      client.send(readCommand(5000));
      assertThat(client.readLine()).startsWith("VA ");
      long sentAt = System.nanoTime();
      client.send(writeCommand(0, 5000));
      Peers.await("a second passes", () -> System.nanoTime() - sentAt > 1_000_000_000L);
      server.send(server.lines.get(0), REST + "\r\n");
      assertThat(client.readBytes(VALUE_BYTES)).hasSize(VALUE_BYTES);
      assertThat(client.readLine()).isEmpty();
      assertThat(client.readLine()).isEqualTo("HD Ow0 c77");
      assertThat(millisTold(received(server, "ms").get(0))).isLessThanOrEqualTo(4000);
    }
  }

  /** Returns the deadline that a command was given. */
  private static long millisTold(String command) {
    String parameters = Peers.flagValue(command, 'P');
    return Long.parseLong(parameters.substring(parameters.indexOf("d=") + 2));
  }

  @Test
  void aClientThatSendsAfterItsValueHasTheWholeTime() throws Exception {
    try (Peers.Server server = new Peers.Server(AnswersBehindValueTest::firstPart);
        Peers.Rig rig = new Peers.Rig(LIMITS, server);
        Peers.Client client = rig.client()) {
      client.send(readCommand(5000));
      assertThat(client.readLine()).startsWith("VA ");
      long begun = System.nanoTime();
      Peers.await("some time passes", () -> System.nanoTime() - begun > 600_000_000L);
      server.send(server.lines.get(0), REST + "\r\n");
      assertThat(client.readBytes(VALUE_BYTES)).hasSize(VALUE_BYTES);
      assertThat(client.readLine()).isEmpty();
      client.send(writeCommand(0, 1000));
      assertThat(client.readLine()).isEqualTo("HD Ow0 c77");
      assertThat(millisTold(received(server, "ms").get(0))).isGreaterThan(600);
    }
  }
}
