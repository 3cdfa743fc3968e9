package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
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

/**
 * Real node processes that can't get the list of cache servers, while a server leaves it. What
 * discovery has to tell counts as told 6 s later, whether or not it arrived; requests may go to a
 * server that has left for the grace of 2 s more, with 50 ms of slack.
 */
class StaleListTest {
  private static final long TOLD_MILLIS = 6000;
  private static final long GRACE_MILLIS = 2050;

  /** For so long after the last confirmed list a node has to go on as it was. */
  private static final long SERVES_ON_MILLIS = 5000;

  private static final long WATCHED_MILLIS = 12_000;
  private static final long REQUEST_EVERY_MILLIS = 40;

  @TempDir Path folder;

  /** One cache server, which notes when commands come. */
  private static final class Cache implements AutoCloseable {
    final List<Long> arrivals = new CopyOnWriteArrayList<>();
    final Peers.Server server = new Peers.Server(this::answer);

    Cache() throws IOException {}

    private String answer(String command) {
      arrivals.add(System.nanoTime());
      return Peers.successReply(command);
    }

    /** How long after a moment the last command came, in milliseconds; below 0 for before. */
    long lastAfter(long moment) {
      return arrivals.isEmpty() ? -1 : (arrivals.get(arrivals.size() - 1) - moment) / 1_000_000;
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  /** A node process, what it talks to, and a client that asks it for one key after the other. */
  private final class Scene implements AutoCloseable {
    final Cache stays = new Cache();
    final Cache leaves = new Cache();
    final ScriptedDiscovery discovery;
    final ServeProcess node;
    final Process process;
    final Peers.Client client;
    final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
    final List<Long> servedAt = new CopyOnWriteArrayList<>();
    final List<Long> turnedAwayAt = new CopyOnWriteArrayList<>();
    final List<String> others = new CopyOnWriteArrayList<>();
    final AtomicInteger asked = new AtomicInteger();

    Scene(String name) throws Exception {
      discovery = new ScriptedDiscovery(Peers.listJson(41, stays.server, leaves.server));
      node = new ServeProcess(folder, name);
      node.configure("127.0.0.1:0", "", discovery.address(), 1, stays.server, leaves.server);
      process = node.launch();
      Peers.await(name + " follows the list", () -> node.logged("discovery: version 41"));
      Peers.await(name + " tells its status", () -> listens() != null);
      client = new Peers.Client(listens());
      clock.scheduleAtFixedRate(this::ask, 0, REQUEST_EVERY_MILLIS, TimeUnit.MILLISECONDS);
      Peers.await(name + " uses both", () -> leaves.arrivals.size() > 3);
    }

    /** Where the node takes clients; null while it does not tell. */
    private InetSocketAddress listens() {
      try {
        String[] at = node.status().requiredText("listen").split(":");
        return new InetSocketAddress(at[0], Integer.parseInt(at[1]));
      } catch (IOException | WireException e) {
        return null;
      }
    }

    private void ask() {
      try {
        String id = Integer.toString(asked.incrementAndGet());
        String answer = client.read(id).readLine();
        if (("VA 5 O" + id).equals(answer)) {
          client.readLine();
          servedAt.add(System.nanoTime());
        } else if (answer != null && answer.startsWith("SERVER_ERROR busy")) {
          turnedAwayAt.add(System.nanoTime());
        } else {
          others.add(String.valueOf(answer));
        }
      } catch (IOException | AssertionError e) {
        others.add(e.toString());
      }
    }

    /** One server leaves, and all watches break; returns when. */
    long cut(Fault fault) throws IOException {
      discovery.list(Peers.listJson(42, stays.server));
      long moment = System.nanoTime();
      fault.step.begin(discovery);
      return moment;
    }

    /** Discovery works again, and the node has the list and serves by it. */
    void heal() throws Exception {
      discovery.heal();
      Peers.await("the new list", () -> node.logged("discovery: version 42"));
      int before = servedAt.size();
      Peers.await("requests are served", () -> servedAt.size() > before + 20);
    }

    @Override
    public void close() throws IOException {
      clock.shutdownNow();
      process.destroyForcibly().onExit().join();
      client.close();
      discovery.close();
      stays.close();
      leaves.close();
    }
  }

  private static void await(long moment, long millis) throws InterruptedException {
    Peers.await(
        millis + " ms have passed", () -> System.nanoTime() - moment >= millis * 1_000_000L);
  }

  /** Plays one way in which no list can be had; returns what was wrong. */
  private String play(Fault fault) {
    try (Scene scene = new Scene(fault.name())) {
      long cut = scene.cut(fault);
      await(cut, WATCHED_MILLIS);
      long last = scene.leaves.lastAfter(cut);
      long late = TOLD_MILLIS + GRACE_MILLIS;
      List<String> wrong = new ArrayList<>();
      if (last > late) {
        wrong.add("sent to a server " + last + " ms after it left the list");
      }
      if (scene.turnedAwayAt.stream().anyMatch(at -> at - cut < SERVES_ON_MILLIS * 1_000_000L)) {
        wrong.add("turned requests away within " + SERVES_ON_MILLIS + " ms");
      }
      scene.heal();
      if (scene.leaves.lastAfter(cut) > Math.max(last, late)) {
        wrong.add("sent to a server that the new list does not name");
      }
      if (!scene.others.isEmpty()) {
        wrong.add("answered " + scene.others);
      }
      System.out.println(
          "%s: %d calls, last send after %d ms, %d served, %d turned away"
              .formatted(
                  fault,
                  scene.discovery.calls(),
                  last,
                  scene.servedAt.size(),
                  scene.turnedAwayAt.size()));
      return wrong.isEmpty() ? "" : fault + ": " + wrong;
    } catch (Exception | AssertionError e) {
      return fault + ": " + e + log(fault.name());
    }
  }

  private String log(String name) {
    try {
      return ", the node: " + Files.readString(folder.resolve(name + ".log"));
    } catch (IOException e) {
      return ", no log";
    }
  }

  /** Ways in which a discovery that is there gives no list. */
  private enum Fault {
    CROWDED(ScriptedDiscovery::crowded),
    TURNS_AWAY(ScriptedDiscovery::turnsAway),
    BREAKS_OFF(ScriptedDiscovery::breaksOff),
    RESETS_MIDWAY(ScriptedDiscovery::resetsMidway),
    DRIPS(ScriptedDiscovery::drips),
    SILENT(ScriptedDiscovery::silent),
    BEATS_ALONE(ScriptedDiscovery::beatsAlone),
    NONSENSE(ScriptedDiscovery::nonsense),
    FULL(
        discovery -> {
          discovery.resetAll();
          discovery.full();
        });

    final Step step;

    Fault(Step step) {
      this.step = step;
    }

    Fault(Conducted conducted) {
      this(
          discovery -> {
            discovery.conduct(call -> conducted.answer(discovery, call));
            discovery.resetAll();
          });
    }
  }

  private interface Step {
    void begin(ScriptedDiscovery discovery) throws IOException;
  }

  private interface Conducted {
    void answer(ScriptedDiscovery discovery, ScriptedDiscovery.Call call)
        throws IOException, InterruptedException;
  }

  @Test
  void nothingGoesToAServerThatHasLeftWhileNoListCanBeHad() throws Exception {
    ExecutorService together = Executors.newCachedThreadPool();
    try {
      List<Future<String>> plays = new ArrayList<>();
      for (Fault fault : Fault.values()) {
        plays.add(together.submit(() -> play(fault)));
      }
      List<String> wrong = new ArrayList<>();
      for (Future<String> play : plays) {
        wrong.add(play.get(2, TimeUnit.MINUTES));
      }
      wrong.removeIf(String::isEmpty);
      assertThat(wrong).isEmpty();
    } finally {
      together.shutdownNow();
    }
  }

  /** While it can't be reached it has nothing to tell, and nothing counts as told. */
  @Test
  void anOutageOfDiscoveryTakesNoNodeOutOfService() throws Exception {
    try (Scene scene = new Scene("outage")) {
      scene.discovery.list(Peers.listJson(42, scene.stays.server));
      long down = System.nanoTime();
      scene.discovery.down();
      await(down, WATCHED_MILLIS);
      assertThat(scene.turnedAwayAt).isEmpty();
      long up = System.nanoTime();
      scene.discovery.up();
      Peers.await("the new list", () -> scene.node.logged("discovery: version 42"));
      assertThat(System.nanoTime() - up).isLessThan(TOLD_MILLIS * 1_000_000L);
      int before = scene.servedAt.size();
      Peers.await("requests are served", () -> scene.servedAt.size() > before + 20);
      assertThat(scene.turnedAwayAt).isEmpty();
      assertThat(scene.others).isEmpty();
    }
  }
}
