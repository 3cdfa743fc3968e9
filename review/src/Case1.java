import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Usual requests while a crowd of idle clients fills the descriptors. */
final class Case1 extends Case {
  private static final int DESCRIPTORS = 512;
  private static final int MEMORY_MB = 96;
  private static final int WAVES = 6;
  private static final int THREADS = 10;
  private static final int CLIENTS_EACH = 50;
  private static final long STAY_MILLIS = 5000;

  private final AtomicInteger came = new AtomicInteger();

  private Case1(String[] arguments) throws IOException {
    super(arguments);
  }

  public static void main(String[] arguments) throws IOException {
    new Case1(arguments).run();
  }

  @Override
  boolean play() throws Exception {
    Discovery discovery = new Discovery(record);
    for (int i = 0; i < 8; i++) {
      boolean big = i < 5;
      Cache cache =
          new Cache("s-" + i) {
            @Override
            long takesMillis(Command command, boolean hit) {
              return between(40, 80);
            }
          };
      String kind = big ? "big-box" : "small-box";
      discovery.put(cache.id, Discovery.entry(cache, kind, "active", big ? 1.0 : 0.4, 0));
    }
    Node.Setup setup = new Node.Setup();
    setup.temporary = temporary;
    setup.discoveryPort = discovery.port();
    setup.known = discovery.list();
    setup.sockets = DESCRIPTORS;
    setup.memoryMb = MEMORY_MB;
    setup.limitDescriptors = true;
    Node node = Node.start(root, setup);
    Usual keeping = new Usual(record, node.port, "k");
    Usual fresh = new Usual(record, node.port, "n");
    fresh.newConnections = true;
    keeping.mayBeShut = true;
    fresh.mayBeShut = true;
    keeping.start(10, 40);
    fresh.start(10, 40);
    Threads.sleep(4000);
    record.say("before, on kept connections: " + keeping + "; on new ones: " + fresh);
    int servedBefore = keeping.served.get() + fresh.served.get();
    if (trouble) {
      for (int wave = 0; wave < WAVES; wave++) {
        for (int i = 0; i < THREADS; i++) {
          int first = wave * THREADS * CLIENTS_EACH + i * CLIENTS_EACH;
          Threads.start(() -> crowd(node.port, first));
        }
        Threads.sleep(1500);
      }
      record.say("clients that connected and then idled or stopped half way: " + came);
    } else {
      Threads.sleep(1500 * WAVES);
    }
    record.say("after " + 1.5 * WAVES + " s, on kept connections: " + keeping
        + "; on new ones: " + fresh);
    Threads.sleep(STAY_MILLIS + 1000);
    keeping.end();
    fresh.end();
    record.say("at the end, on kept connections: " + keeping + "; on new ones: " + fresh);
    long millis = node.millisToAnswer();
    record.say("process alive: " + node.process.isAlive() + "; the crowd has gone; a new client gets MN"
        + " after " + millis + " ms (-1: not within 10 s)");
    if (servedBefore < 200) {
      throw new IOException("too few requests were served to judge");
    }
    return keeping.lost.get() + fresh.lost.get() == 0 && node.process.isAlive() && millis >= 0;
  }

  /** Connects and idles, or stops half way in a command; goes after some seconds. */
  private void crowd(int port, int first) {
    List<Client> clients = new ArrayList<>();
    for (int i = first; i < first + CLIENTS_EACH; i++) {
      try {
        Client client = new Client(port);
        clients.add(client);
        came.incrementAndGet();
        if (i % 3 == 1) {
          client.send("mg square-");
        } else if (i % 3 == 2) {
          client.send("ms square-1 500 Oh" + i + " Pc=sheet-submit,d=1000\r\nhalf a sheet");
        }
      } catch (IOException e) {
        // Shut already, or no place.
      }
    }
    Threads.sleep(STAY_MILLIS);
    clients.forEach(client -> Threads.reset(client.socket));
  }
}
