import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Cache servers drain while watches are silent; then discovery is down for 8 s. */
final class Case3 extends Case {
  private static final long TOLD_AFTER_SILENCE_MILLIS = 6000;
  private static final long GRACE_MILLIS = 2000;
  private static final long SLACK_MILLIS = 50;
  private static final long DOWN_MILLIS = 8000;

  /** From when on nothing new may come to a cache server, by {@link System#nanoTime()}. */
  private final Map<String, Long> nothingAfter = new ConcurrentHashMap<>();

  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger toDraining = new AtomicInteger();
  private volatile double latest;

  private Case3(String[] arguments) throws IOException {
    super(arguments);
  }

  public static void main(String[] arguments) throws IOException {
    new Case3(arguments).run();
  }

  private void began(Cache cache, Command command) {
    Long limit = nothingAfter.get(cache.id);
    if (limit == null) {
      return;
    }
    toDraining.incrementAndGet();
    if (command.at - limit > 0) {
      late.incrementAndGet();
      latest = Math.max(latest, (command.at - limit) / 1e6);
      record.line("SENT to " + cache.id + ", which drains, "
          + (command.at - limit) / 1_000_000 + " ms after the grace: " + command.line);
    }
  }

  @Override
  boolean play() throws Exception {
    Discovery discovery = new Discovery(record);
    Cache[] caches = new Cache[8];
    for (int i = 0; i < caches.length; i++) {
      caches[i] =
          new Cache("s-" + i) {
            @Override
            long takesMillis(Command command, boolean hit) {
              return between(40, 80);
            }

            @Override
            void began(Command command) {
              Case3.this.began(this, command);
            }
          };
      put(discovery, caches, i, "active");
    }
    Node.Setup setup = new Node.Setup();
    setup.temporary = temporary;
    setup.discoveryPort = discovery.port();
    setup.known = discovery.list();
    Node node = Node.start(root, setup);
    Usual usual = new Usual(record, node.port, "u");
    usual.start(20, 40);
    Threads.sleep(6000);
    if (discovery.watchCount() == 0) {
      throw new IOException("the node has opened no watch");
    }
    discovery.awaitBeat();
    Threads.sleep(100);
    long told = System.nanoTime() + 500_000_000L;
    if (trouble) {
      discovery.silenceWatches();
      record.say("all open watches fall silent; new calls are answered");
      told = System.nanoTime() + TOLD_AFTER_SILENCE_MILLIS * 1_000_000L;
    }
    Threads.sleep(500);
    for (int i = 0; i < 2; i++) {
      nothingAfter.put(caches[i].id, told + (GRACE_MILLIS + SLACK_MILLIS) * 1_000_000L);
      put(discovery, caches, i, "leaving");
    }
    record.say("two of eight cache servers begin to drain, and stay up");
    Threads.sleep(1500);
    if (trouble) {
      discovery.goDown();
      record.say("discovery is down: it resets what is open and refuses new calls");
    }
    Threads.sleep(DOWN_MILLIS);
    if (trouble) {
      discovery.comeBack();
      record.say("discovery is back");
    }
    Threads.sleep(4000);
    usual.end();
    record.say(usual.toString());
    record.say("requests that came to the draining cache servers: " + toDraining + ", of these "
        + late + " after they counted as told and the grace was over, the latest "
        + Math.round(latest) + " ms after it");
    if (usual.served.get() < 200) {
      throw new IOException("too few requests were served to judge");
    }
    return late.get() == 0;
  }

  private static void put(Discovery discovery, Cache[] caches, int i, String state) {
    boolean big = i < 5;
    discovery.put(
        caches[i].id,
        Discovery.entry(caches[i], big ? "big-box" : "small-box", state, big ? 1.0 : 0.4, 0));
  }
}
