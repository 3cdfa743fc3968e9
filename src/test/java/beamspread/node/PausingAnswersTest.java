package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.node.PausingServer.Piece;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A node process before cache servers that pause within an answer: what the client can still get in
 * its time is not cut off, and an answer that never ends costs the client no more than before.
 * Incident 3cc17f.
 *
 * <p>The long run: {@code mvn test -Dtest=PausingAnswersTest -Dseeds=50 -Dseed=1000}.
 */
class PausingAnswersTest {
  private static final int SERVERS = 8;
  private static final int SLOW_CLIENTS = 6;
  private static final int USUAL_CLIENTS = 10;
  private static final int SLOW_REQUESTS_PER_CLIENT = 2;
  private static final int USUAL_PAUSE_MILLIS = 20;

  /** How long the clients wait for their answers. */
  private static final int WAIT_MILLIS = 2000;

  /** Pauses of sound servers, as in the evidence. */
  private static final int MIN_PAUSE_MILLIS = 850;

  private static final int MAX_PAUSE_MILLIS = 1030;

  /** A pause within a large value that goes on beyond the time of the request. */
  private static final int LONG_PAUSE_MILLIS = 3500;

  /**
   * Time by which an answer may miss its deadline, in milliseconds: the contract's and sockets'.
   */
  private static final int SLACK_MILLIS = 70;

  private static final long SEED = Long.getLong("seed", 3217);
  private static final int SEEDS = Integer.getInteger("seeds", 1);

  @TempDir Path folder;

  /** Where within an answer a server pauses. */
  enum PausePlace {
    WITHIN_SMALL_VALUE(27_000, 62_000, 0.5),
    AFTER_HEAD(27_000, 62_000, 0),
    AFTER_HEAD_OF_LARGE_VALUE(125_000, 295_000, 0),
    WITHIN_FIRST_BYTES_OF_LARGE_VALUE(125_000, 295_000, 0.01),
    WITHIN_LARGE_VALUE(125_000, 295_000, 0.5);

    private final int minLength;
    private final int maxLength;
    private final double partBeforePause;

    PausePlace(int minLength, int maxLength, double partBeforePause) {
      this.minLength = minLength;
      this.maxLength = maxLength;
      this.partBeforePause = partBeforePause;
    }

    List<Piece> answer(String command, Random random) {
      int length = minLength + random.nextInt(maxLength - minLength);
      int pause = MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS);
      int before = (int) (length * partBeforePause);
      return List.of(
          new Piece(10, head(command, length)),
          new Piece(0, "v".repeat(before)),
          new Piece(pause, "v".repeat(length - before) + "\r\n"));
    }
  }

  private static String head(String command, int length) {
    return "VA " + length + " O" + Peers.flagValue(command, 'O') + " h1\r\n";
  }

  private static boolean isSlow(String command) {
    return command.split(" ")[1].startsWith("slow-");
  }

  private static List<Piece> usualAnswer(String command) {
    return List.of(new Piece(5, Peers.successReply(command)));
  }

  /** Says which requests are slow, and how they are answered. */
  private static Function<String, List<Piece>> slowAnswers(
      Function<String, List<Piece>> slowAnswer) {
    return command -> isSlow(command) ? slowAnswer.apply(command) : usualAnswer(command);
  }

  /** One node process before cache servers, with what its clients got. */
  private final class Scenario implements AutoCloseable {
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final List<PausingServer> servers = new ArrayList<>();
    private final ScriptedDiscovery discovery;
    private final ServeProcess node;
    private final Process process;

    /** The slow requests by how they ended, and the longest wait for an answer. */
    final Map<String, Integer> slowEnds = new ConcurrentHashMap<>();

    final Map<String, Integer> usualEnds = new ConcurrentHashMap<>();
    private long longestMillis;
    private volatile boolean slowDone;

    Scenario(String name, boolean parallelAttempts, List<Function<String, List<Piece>>> scripts)
        throws Exception {
      for (int i = 0; i < scripts.size(); i++) {
        servers.add(new PausingServer("s-" + i, scripts.get(i)));
      }
      String list =
          "{\"version\":40,\"full\":true,\"servers\":[%s]}"
              .formatted(
                  servers.stream().map(PausingServer::listEntry).collect(Collectors.joining(",")));
      discovery = new ScriptedDiscovery(list);
      node = new ServeProcess(folder, name);
      node.parallelAttempts(parallelAttempts);
      node.configure("127.0.0.1:0", "", discovery.address(), 1, list);
      process = node.launch();
      Peers.await("a node tells its address", () -> node.listenAddress() != null);
    }

    /** Has all clients send their requests; returns once the slow ones are answered. */
    void play(Function<String, String> slowCommand) throws Exception {
      play(slowCommand, SLOW_REQUESTS_PER_CLIENT);
    }

    void play(Function<String, String> slowCommand, int requestsPerClient) throws Exception {
      InetSocketAddress address = node.listenAddress();
      List<Future<?>> slow = new ArrayList<>();
      List<Future<?>> usual = new ArrayList<>();
      for (int i = 0; i < USUAL_CLIENTS; i++) {
        int number = i;
        usual.add(clients.submit(() -> runUsual(address, number)));
      }
      Peers.await(
          "usual clients are served", () -> usualEnds.getOrDefault("served", 0) > 10 * SERVERS);
      for (int i = 0; i < SLOW_CLIENTS; i++) {
        int number = i;
        slow.add(clients.submit(() -> runSlow(address, number, slowCommand, requestsPerClient)));
      }
      for (Future<?> client : slow) {
        client.get(1, TimeUnit.MINUTES);
      }
      slowDone = true;
      for (Future<?> client : usual) {
        client.get(1, TimeUnit.MINUTES);
      }
    }

    private Void runUsual(InetSocketAddress address, int number) throws Exception {
      try (Peers.Client client = new Peers.Client(address)) {
        for (int i = 0; !slowDone; i++) {
          String id = "u" + number + "-" + i;
          client.send("mg key-%d v O%s Pc=read,d=%d\r\n".formatted(i % 50, id, WAIT_MILLIS));
          usualEnds.merge(readAnswer(client), 1, Integer::sum);
          TimeUnit.MILLISECONDS.sleep(USUAL_PAUSE_MILLIS);
        }
      }
      return null;
    }

    private Void runSlow(
        InetSocketAddress address, int number, Function<String, String> slowCommand, int requests)
        throws Exception {
      for (int i = 0; i < requests; i++) {
        // A connection each: what ends one must not count for the next.
        try (Peers.Client client = new Peers.Client(address)) {
          client.send(slowCommand.apply(number + "-" + i));
          long sentAt = System.nanoTime();
          slowEnds.merge(readAnswer(client), 1, Integer::sum);
          recordWait((System.nanoTime() - sentAt) / 1_000_000);
        }
      }
      return null;
    }

    private synchronized void recordWait(long millis) {
      longestMillis = Math.max(longestMillis, millis);
    }

    synchronized long longestMillis() {
      return longestMillis;
    }

    int cutOff() {
      return servers.stream().mapToInt(server -> server.cutOff.get()).sum();
    }

    @Override
    public String toString() {
      return "slow requests %s, cut off %d, longest %d ms, usual ones %s"
          .formatted(new TreeMap<>(slowEnds), cutOff(), longestMillis(), new TreeMap<>(usualEnds));
    }

    @Override
    public void close() throws IOException {
      slowDone = true;
      clients.shutdownNow();
      process.destroyForcibly().onExit().join();
      discovery.close();
      for (PausingServer server : servers) {
        server.close();
      }
    }
  }

  /** Returns how a request ended: served, the line of a refusal or failure, or cut off. */
  private static String readAnswer(Peers.Client client) throws IOException {
    String line = client.readLine();
    if (line == null) {
      return "no answer";
    }
    if (line.startsWith("HD ")) {
      return "served";
    }
    if (!line.startsWith("VA ")) {
      return line;
    }
    int length = Integer.parseInt(line.split(" ")[1]) + 2;
    return client.readBytes(length).length == length ? "served" : "broken";
  }

  private static Function<String, String> slowRead() {
    return id -> "mg slow-%s v Ox%s Pc=read,d=%d\r\n".formatted(id, id, WAIT_MILLIS);
  }

  private static Function<String, String> slowWrite(String serviceClass) {
    return id ->
        "ms slow-%s 5 Ox%s Pc=%s,d=%d,k=k%s\r\nworld\r\n"
            .formatted(id, id, serviceClass, WAIT_MILLIS, id);
  }

  private static List<Function<String, List<Piece>>> everyServer(
      Function<String, List<Piece>> script) {
    List<Function<String, List<Piece>>> scripts = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      scripts.add(script);
    }
    return scripts;
  }

  /**
   * Plays slow requests before servers that pause in this place, and judges that all are served.
   */
  private void assertServed(PausePlace place, boolean parallelAttempts) throws Exception {
    for (long seed = SEED; seed < SEED + SEEDS; seed++) {
      Random random = new Random(seed);
      Function<String, List<Piece>> script = slowAnswers(line -> place.answer(line, random));
      try (Scenario scenario =
          new Scenario(place + "-" + seed, parallelAttempts, everyServer(script))) {
        scenario.play(slowRead());
        System.out.println("seed " + seed + ", pause " + place + ": " + scenario);
        assertThat(scenario.slowEnds)
            .as("seed %d: %s", seed, scenario)
            .containsOnly(Map.entry("served", SLOW_CLIENTS * SLOW_REQUESTS_PER_CLIENT));
        assertThat(scenario.usualEnds.keySet())
            .as("seed %d: %s", seed, scenario)
            .containsOnly("served");
      }
    }
  }

  @ParameterizedTest
  @EnumSource
  void answerThatPausesIsNotCutOff(PausePlace place) throws Exception {
    assertServed(place, true);
  }

  @ParameterizedTest
  @EnumSource
  void answerThatPausesIsNotCutOffWhereOneAttemptIsAllowedAtATime(PausePlace place)
      throws Exception {
    assertServed(place, false);
  }

  /** Of a large value only the first bytes have to be in time. */
  @Test
  void largeValueThatPausesBeyondTheDeadlineIsNotCutOff() throws Exception {
    int length = 200_000;
    Function<String, List<Piece>> script =
        slowAnswers(
            line ->
                List.of(
                    new Piece(10, head(line, length) + "v".repeat(length / 2)),
                    new Piece(LONG_PAUSE_MILLIS, "v".repeat(length / 2) + "\r\n")));
    try (Scenario scenario = new Scenario("long-pause", true, everyServer(script))) {
      scenario.play(slowRead(), 1);
      System.out.println("long pause within a large value: " + scenario);
      assertThat(scenario.slowEnds)
          .as(scenario.toString())
          .containsOnly(Map.entry("served", SLOW_CLIENTS));
    }
  }

  /** The effect was done: its receipt must not be dropped because of a pause within its line. */
  @ParameterizedTest
  @ValueSource(strings = {"put", "keyed"})
  void receiptThatPausesIsNotCutOff(String serviceClass) throws Exception {
    Function<String, List<Piece>> script =
        slowAnswers(
            line ->
                List.of(
                    new Piece(10, "HD O" + Peers.flagValue(line, 'O') + " c"),
                    new Piece(MAX_PAUSE_MILLIS, "77\r\n")));
    try (Scenario scenario = new Scenario("w-" + serviceClass, true, everyServer(script))) {
      scenario.play(slowWrite(serviceClass));
      System.out.println(serviceClass + ": " + scenario);
      assertThat(scenario.slowEnds)
          .as(scenario.toString())
          .containsOnly(Map.entry("served", SLOW_CLIENTS * SLOW_REQUESTS_PER_CLIENT));
    }
  }

  private static List<Piece> neverEnds(String command) {
    return List.of(new Piece(10, head(command, 40_000) + "v".repeat(20_000)), Piece.NEVER);
  }

  @Test
  void oneServerWhoseAnswersNeverEndCostsNoAnswer() throws Exception {
    List<Function<String, List<Piece>>> scripts =
        everyServer(slowAnswers(PausingAnswersTest::usualAnswer));
    scripts.set(0, slowAnswers(PausingAnswersTest::neverEnds));
    for (boolean parallelAttempts : List.of(true, false)) {
      try (Scenario scenario = new Scenario("one-" + parallelAttempts, parallelAttempts, scripts)) {
        scenario.play(slowRead());
        System.out.println("one never ends, parallel " + parallelAttempts + ": " + scenario);
        assertThat(scenario.slowEnds).as(scenario.toString()).containsOnlyKeys("served");
        assertThat(scenario.longestMillis())
            .as(scenario.toString())
            .isLessThan(parallelAttempts ? WAIT_MILLIS / 2 : WAIT_MILLIS);
      }
    }
  }

  @Test
  void serversWhoseAnswersNeverEndCostNoClientMoreThanItsTime() throws Exception {
    List<Function<String, List<Piece>>> scripts =
        everyServer(slowAnswers(PausingAnswersTest::neverEnds));
    for (boolean parallelAttempts : List.of(true, false)) {
      try (Scenario scenario = new Scenario("all-" + parallelAttempts, parallelAttempts, scripts)) {
        scenario.play(slowRead());
        System.out.println("none ends, parallel " + parallelAttempts + ": " + scenario);
        assertThat(scenario.slowEnds.keySet())
            .as(scenario.toString())
            .isSubsetOf("SERVER_ERROR busy", "SERVER_ERROR failed");
        assertThat(scenario.longestMillis())
            .as(scenario.toString())
            .isLessThan(WAIT_MILLIS + SLACK_MILLIS);
        assertThat(scenario.usualEnds.keySet()).as(scenario.toString()).containsOnly("served");
      }
    }
  }
}
