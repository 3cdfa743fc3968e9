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
 * A node that stalls under open requests, and requests that are sent to it meanwhile, judged from
 * the clients' side: each has one whole answer at most half a second after its time, unless that
 * was over before the node could run again, and nothing is sent on for one whose time is past.
 */
class StalledNodeTest {
  private static final long MS = 1_000_000L;

  /** What an answer that comes late may be late by before its request is lost. */
  private static final long SLACK_NANOS = 500 * MS;

  /** A request whose time is over so shortly before or after the stall ends proves nothing. */
  private static final long DOUBT_NANOS = 60 * MS;

  private static final int DURING = 30;

  /** Requests that are served before the stall, over more than a second. */
  private static final int WARM = 600;

  @TempDir Path folder;
  private final ExecutorService readers = Executors.newCachedThreadPool();
  private final List<Future<Answered>> answers = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(4711);
  private int ids;

  /** A request and what came of it, as its client saw it. */
  private record Answered(String id, long dueAt, String first, long answeredAt, String second) {
    boolean whole() {
      return first != null
          && (first.equals("VA 5 O" + id) || first.startsWith("SERVER_ERROR "))
          && second == null;
    }
  }

  /** Answers reads of keys that begin with f, and leaves all others without an answer. */
  private static Peers.Server server() throws IOException {
    return new Peers.Server(line -> line.startsWith("mg f") ? Peers.good(line) : null);
  }

  private Callable<Answered> reader(Peers.Client client, String id, long dueAt) {
    return () -> {
      String first = client.line();
      final long at = System.nanoTime();
      if (first != null && first.startsWith("VA ")) {
        assertThat(client.line()).isEqualTo("hello");
      }
      // One end of the connection after another: nothing more may come before it.
      client.send("mn\r\n");
      String second = client.line();
      client.close();
      return new Answered(id, dueAt, first, at, "MN".equals(second) ? null : second);
    };
  }

  private void ask(InetSocketAddress node, String key, long millis) throws IOException {
    String id = "q" + ++ids;
    Peers.Client client = new Peers.Client(node);
    long dueAt = System.nanoTime() + millis * MS;
    client.send("mg " + key + id + " v O" + id + " Pc=read,d=" + millis + "\r\n");
    answers.add(readers.submit(reader(client, id, dueAt)));
  }

  private static void pause(long until) {
    for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
      LockSupport.parkNanos(left);
    }
  }

  /** Serves some requests, so that the node knows its cache servers to answer. */
  private void warm(InetSocketAddress node) throws IOException {
    try (Peers.Client client = new Peers.Client(node)) {
      for (int i = 0; i < WARM; i++) {
        String id = "w" + ++ids;
        client.send("mg f" + i % 50 + " v O" + id + " Pc=read,d=3000\r\n");
        assertThat(client.line()).isEqualTo("VA 5 O" + id);
        assertThat(client.line()).isEqualTo("hello");
        pause(System.nanoTime() + 2 * MS);
      }
    }
  }

  /** Sends what comes during the stall, spread over it. */
  private void askDuring(InetSocketAddress node, long stalledAt, long millis) throws IOException {
    for (int i = 0; i < DURING; i++) {
      pause(stalledAt + millis * MS * i / DURING);
      ask(node, i % 3 == 0 ? "f" : "h", 500 + random.nextInt(2500));
    }
    pause(stalledAt + millis * MS);
  }

  /**
   * Judges all answers.
   *
   * @param sentOn what the cache servers were sent
   * @param open how many were open when the stall began
   * @return how many had to be lost
   */
  private int judge(long runsAgainAt, List<String> sentOn, int open) throws Exception {
    Set<String> begun =
        sentOn.stream().map(line -> Peers.flag(line, 'O')).collect(Collectors.toSet());
    int lost = 0;
    for (int i = 0; i < answers.size(); i++) {
      Answered one = answers.get(i).get();
      assertThat(one.whole()).as("%s", one).isTrue();
      long lateNanos = one.answeredAt - one.dueAt - SLACK_NANOS;
      boolean couldBeSaved = one.dueAt + SLACK_NANOS - runsAgainAt > DOUBT_NANOS;
      if (couldBeSaved) {
        assertThat(lateNanos).as("%s", one).isNegative();
      } else if (lateNanos > 0) {
        lost++;
      }
      boolean past = runsAgainAt - one.dueAt > DOUBT_NANOS;
      if (i >= open && past) {
        assertThat(begun).as("sent on though its time was past").doesNotContain(one.id);
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

  private static InetSocketAddress listens(ServeProcess node) throws InterruptedException {
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
        InetSocketAddress address = listens(node);
        warm(address);
        for (int i = 0; i < open; i++) {
          ask(address, "h", 1000 + random.nextInt(2000));
        }
        Peers.await("all are taken", () -> openRequests(node) >= open);
        signal(process, "STOP");
        long stalledAt = System.nanoTime();
        askDuring(address, stalledAt, millis);
        signal(process, "CONT");
        long runsAgainAt = System.nanoTime();
        List<String> sentOn = new ArrayList<>();
        int lost = judgeLater(runsAgainAt, servers, sentOn, open);
        System.out.printf("%d open, stopped for %d ms: %d had to be lost%n", open, millis, lost);
        assertThat(lost).isLessThanOrEqualTo(open);
        Peers.await("nothing is left open", () -> openRequests(node) == 0);
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

  /** Judges once all clients have their answers, and so all that was to be sent on is sent. */
  private int judgeLater(
      long runsAgainAt, List<Peers.Server> servers, List<String> sentOn, int open)
      throws Exception {
    for (Future<Answered> one : answers) {
      one.get();
    }
    servers.forEach(server -> sentOn.addAll(server.lines));
    return judge(runsAgainAt, sentOn, open);
  }

  @ParameterizedTest
  @CsvSource({"300", "1000", "2000"})
  void aLoopThatIsHeldLosesNothingThatItCouldSave(long millis) throws Exception {
    try (Peers.Server server = server();
        Peers.Rig rig = new Peers.Rig(ClientConnections.Limits.defaults(200), 512, server)) {
      warm(rig.address);
      for (int i = 0; i < 60; i++) {
        ask(rig.address, "h", 1000 + random.nextInt(2000));
      }
      Peers.await("all are taken", () -> rig.node.openRequests() >= 60);
      long stalledAt = System.nanoTime();
      long runsAgainAt;
      try (Hold hold = new Hold(rig.node, 0)) {
        askDuring(rig.address, stalledAt, millis);
        hold.release();
        runsAgainAt = System.nanoTime();
      }
      List<String> sentOn = new ArrayList<>();
      int lost = judgeLater(runsAgainAt, List.of(server), sentOn, 60);
      System.out.printf("60 open, held for %d ms: %d had to be lost%n", millis, lost);
      assertThat(lost).isLessThanOrEqualTo(60);
    } finally {
      readers.shutdownNow();
    }
  }

  /** Requests that wait behind a client's earlier ones, and clients that leave meanwhile. */
  @Test
  void whoLeavesDuringTheStallIsNotServed() throws Exception {
    try (Peers.Server server = server();
        Peers.Rig rig = new Peers.Rig(ClientConnections.Limits.defaults(50), server)) {
      Peers.Client stays = rig.client();
      Peers.Client leaves = rig.client();
      assertThat(stays.send("mn\r\n").line()).isEqualTo("MN");
      assertThat(leaves.send("mn\r\n").line()).isEqualTo("MN");
      try (Hold hold = new Hold(rig.node, 0)) {
        leaves.send("mg f1 v Oleaves Pc=read,d=3000\r\n").leave();
        leaves.awaitEnded();
        stays.send("mg f2 v Ostays Pc=read,d=3000\r\n");
        pause(System.nanoTime() + 200 * MS);
        hold.release();
        assertThat(stays.line()).isEqualTo("VA 5 Ostays");
      }
      assertThat(server.lines).noneMatch(line -> line.contains("Oleaves"));
      Peers.await("nothing is left open", () -> rig.node.openRequests() == 0);
      stays.close();
    } finally {
      readers.shutdownNow();
    }
  }
}
