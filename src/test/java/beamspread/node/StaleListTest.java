package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Node processes that can't get the list of cache servers while a server is removed from it. The
 * removal takes effect 6 s after discovery has made it, whether or not the node received it. During
 * a grace of 2 s after that, the node may still send requests to the removed server; the test
 * allows 50 ms more.
 */
class StaleListTest {
  private static final long CHANGE_EFFECTIVE_MILLIS = 6000;
  private static final long GRACE_WITH_TOLERANCE_MILLIS = 2050;

  /** Time after the removal of a server during which a node must not refuse requests. */
  private static final long MUST_SERVE_MILLIS = 5000;

  private static final long FAULT_MILLIS = 12_000;
  private static final long REQUEST_INTERVAL_MILLIS = 40;

  @TempDir Path folder;

  /** A cache server that records when it receives commands. */
  private static final class CacheServer implements AutoCloseable {
    final List<Long> arrivals = new CopyOnWriteArrayList<>();
    final Peers.Server server = new Peers.Server(this::answer);

    CacheServer() throws IOException {}

    private String answer(String command) {
      arrivals.add(System.nanoTime());
      return Peers.successReply(command);
    }

    /**
     * Returns the time from a moment to the last command, in milliseconds; negative if the command
     * came before it.
     */
    long millisToLastCommand(long moment) {
      return arrivals.isEmpty() ? -1 : (arrivals.get(arrivals.size() - 1) - moment) / 1_000_000;
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  /** A node process with its peers, and a client that reads one key after the other. */
  private final class Scenario implements AutoCloseable {
    final CacheServer staying = new CacheServer();
    final CacheServer leaving = new CacheServer();
    final ScriptedDiscovery discovery;
    final ServeProcess node;
    final Process process;
    final Peers.Client client;
    final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    final List<Long> servedAt = new CopyOnWriteArrayList<>();
    final List<Long> refusedAt = new CopyOnWriteArrayList<>();
    final List<String> otherAnswers = new CopyOnWriteArrayList<>();
    final AtomicInteger requestCount = new AtomicInteger();

    Scenario(String name) throws Exception {
      discovery = new ScriptedDiscovery(Peers.listJson(41, staying.server, leaving.server));
      node = new ServeProcess(folder, name);
      node.configure("127.0.0.1:0", "", discovery.address(), 1, staying.server, leaving.server);
      process = node.launch();
      Peers.await(name + " follows the list", () -> node.logged("discovery: version 41"));
      Peers.await(name + " reports its status", () -> node.listenAddress() != null);
      client = new Peers.Client(node.listenAddress());
      scheduler.scheduleAtFixedRate(
          this::sendRequest, 0, REQUEST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
      Peers.await(name + " uses both servers", () -> leaving.arrivals.size() > 3);
    }

    private void sendRequest() {
      try {
        String id = Integer.toString(requestCount.incrementAndGet());
        String answer = client.read(id).readLine();
        if (("VA 5 O" + id).equals(answer)) {
          client.readLine();
          servedAt.add(System.nanoTime());
        } else if (answer != null && answer.startsWith("SERVER_ERROR busy")) {
          refusedAt.add(System.nanoTime());
        } else {
          otherAnswers.add(String.valueOf(answer));
        }
      } catch (IOException | AssertionError e) {
        otherAnswers.add(e.toString());
      }
    }

    /** Removes one server from the list and begins the fault; returns the time of the removal. */
    long removeServerAndBegin(Fault fault) throws IOException {
      discovery.setList(Peers.listJson(42, staying.server));
      long moment = System.nanoTime();
      fault.action.begin(discovery);
      return moment;
    }

    /** Ends the fault and waits until the node serves requests by the new list. */
    void recover() throws Exception {
      discovery.heal();
      Peers.await("the new list", () -> node.logged("discovery: version 42"));
      int before = servedAt.size();
      Peers.await("requests are served", () -> servedAt.size() > before + 20);
    }

    @Override
    public void close() throws IOException {
      scheduler.shutdownNow();
      process.destroyForcibly().onExit().join();
      client.close();
      discovery.close();
      staying.close();
      leaving.close();
    }
  }

  private static void awaitElapsed(long moment, long millis) throws InterruptedException {
    Peers.await(
        millis + " ms have passed", () -> System.nanoTime() - moment >= millis * 1_000_000L);
  }

  /** Runs one fault; returns a description of all violations, empty for none. */
  private String runFault(Fault fault) {
    try (Scenario scenario = new Scenario(fault.name())) {
      long cutNanos = scenario.removeServerAndBegin(fault);
      awaitElapsed(cutNanos, FAULT_MILLIS);
      long lastSentMillis = scenario.leaving.millisToLastCommand(cutNanos);
      long latestAllowedMillis = CHANGE_EFFECTIVE_MILLIS + GRACE_WITH_TOLERANCE_MILLIS;
      List<String> violations = new ArrayList<>();
      if (lastSentMillis > latestAllowedMillis) {
        violations.add("sent to a server " + lastSentMillis + " ms after it left the list");
      }
      if (scenario.refusedAt.stream()
          .anyMatch(at -> at - cutNanos < MUST_SERVE_MILLIS * 1_000_000L)) {
        violations.add("refused requests within " + MUST_SERVE_MILLIS + " ms");
      }
      scenario.recover();
      if (scenario.leaving.millisToLastCommand(cutNanos)
          > Math.max(lastSentMillis, latestAllowedMillis)) {
        violations.add("sent to a server that is not in the new list");
      }
      if (!scenario.otherAnswers.isEmpty()) {
        violations.add("answered " + scenario.otherAnswers);
      }
      System.out.println(
          "%s: %d calls, last send after %d ms, %d served, %d refused"
              .formatted(
                  fault,
                  scenario.discovery.calls(),
                  lastSentMillis,
                  scenario.servedAt.size(),
                  scenario.refusedAt.size()));
      return violations.isEmpty() ? "" : fault + ": " + violations;
    } catch (Exception | AssertionError e) {
      return fault + ": " + e + readLog(fault.name());
    }
  }

  private String readLog(String name) {
    try {
      return ", the node: " + Files.readString(folder.resolve(name + ".log"));
    } catch (IOException e) {
      return ", no log";
    }
  }

  /** Ways in which a reachable discovery fails to return a list. */
  private enum Fault {
    OVERLOADED(ScriptedDiscovery::overloaded),
    REJECTS(ScriptedDiscovery::rejects),
    STALLS_MIDWAY(ScriptedDiscovery::stallsMidway),
    RESETS_MIDWAY(ScriptedDiscovery::resetsMidway),
    TRICKLES(ScriptedDiscovery::trickles),
    SILENT(ScriptedDiscovery::silent),
    HEARTBEATS_ONLY(ScriptedDiscovery::heartbeatsOnly),
    MALFORMED(ScriptedDiscovery::malformed),
    BACKLOG_FULL(
        discovery -> {
          discovery.resetAll();
          discovery.fillBacklog();
        });

    final FaultAction action;

    Fault(FaultAction action) {
      this.action = action;
    }

    Fault(FaultyBehaviour behaviour) {
      this(
          discovery -> {
            discovery.setBehaviour(call -> behaviour.answer(discovery, call));
            discovery.resetAll();
          });
    }
  }

  private interface FaultAction {
    void begin(ScriptedDiscovery discovery) throws IOException;
  }

  private interface FaultyBehaviour {
    void answer(ScriptedDiscovery discovery, ScriptedDiscovery.Call call)
        throws IOException, InterruptedException;
  }

  @Test
  void sendsNothingToRemovedServerWhileDiscoveryFails() throws Exception {
    ExecutorService executor = Executors.newCachedThreadPool();
    try {
      List<Future<String>> runs = new ArrayList<>();
      for (Fault fault : Fault.values()) {
        runs.add(executor.submit(() -> runFault(fault)));
      }
      List<String> violations = new ArrayList<>();
      for (Future<String> run : runs) {
        violations.add(run.get(2, TimeUnit.MINUTES));
      }
      violations.removeIf(String::isEmpty);
      assertThat(violations).isEmpty();
    } finally {
      executor.shutdownNow();
    }
  }

  /**
   * Guards against requests to a removed server in an outage of discovery: that calls are refused
   * now says nothing of the time before, in which a change may have been made that no watch told
   * (incident 0005).
   *
   * @param silentMillis how long the open watches are silent before the outage
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 1500})
  void sendsNothingToRemovedServerDuringAnOutage(long silentMillis) throws Exception {
    try (Scenario scenario = new Scenario("outage-" + silentMillis)) {
      scenario.discovery.silenceWatches();
      scenario.discovery.setList(Peers.listJson(42, scenario.staying.server));
      long removedNanos = System.nanoTime();
      awaitElapsed(removedNanos, silentMillis);
      scenario.discovery.goDown();
      awaitElapsed(removedNanos, FAULT_MILLIS);
      assertThat(scenario.leaving.millisToLastCommand(removedNanos))
          .isLessThan(CHANGE_EFFECTIVE_MILLIS + GRACE_WITH_TOLERANCE_MILLIS);
      assertThat(scenario.refusedAt)
          .noneMatch(at -> at - removedNanos < MUST_SERVE_MILLIS * 1_000_000L);
      long upNanos = System.nanoTime();
      scenario.discovery.comeUp();
      Peers.await("the new list", () -> scenario.node.logged("discovery: version 42"));
      assertThat(System.nanoTime() - upNanos).isLessThan(CHANGE_EFFECTIVE_MILLIS * 1_000_000L);
      int before = scenario.servedAt.size();
      Peers.await("a request is served", () -> scenario.servedAt.size() > before);
      int refusedBefore = scenario.refusedAt.size();
      Peers.await("requests are served", () -> scenario.servedAt.size() > before + 20);
      assertThat(scenario.refusedAt).as("refused by the new list").hasSize(refusedBefore);
      assertThat(scenario.otherAnswers).isEmpty();
    }
  }
}
