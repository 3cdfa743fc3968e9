import java.io.IOException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send much at once and go, and what is sent to cache servers for them later. */
final class Case2 extends Case {
  private static final int CLIENTS = 20;
  private static final int READS = 300;
  private static final int WRITES = 8;
  private static final int WRITE_BYTES = 64 << 10;

  /** An attempt may begin this long after the close; the limit is 0.1 s, on sockets 50 ms more. */
  private static final double LIMIT_MILLIS = 150;

  /** When the client with this number closed, by {@link System#nanoTime()}. */
  private final ConcurrentHashMap<Integer, Long> closedAt = new ConcurrentHashMap<>();

  private final AtomicInteger attempts = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private volatile double latest;

  private Case2(String[] arguments) throws IOException {
    super(arguments);
  }

  public static void main(String[] arguments) throws IOException {
    new Case2(arguments).run();
  }

  /** Notes a command of a client that sends much, as a cache server begins it. */
  private void began(Cache cache, Command command) {
    if (!command.id().startsWith("Om")) {
      return;
    }
    attempts.incrementAndGet();
    int number = Integer.parseInt(command.id().substring(2).split("-")[0]);
    Long closed = closedAt.get(number);
    double millis = closed == null ? 0 : (command.at - closed) / 1e6;
    if (millis > LIMIT_MILLIS) {
      late.incrementAndGet();
      latest = Math.max(latest, millis);
      record.line("LATE at " + cache.id + ", " + Math.round(millis)
          + " ms after its client's close: " + command.line);
    }
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
              // What it lacks it fetches from the central database first.
              return hit || command.isWrite() ? between(40, 80) : between(250, 350);
            }

            @Override
            void began(Command command) {
              Case2.this.began(this, command);
            }
          };
      String kind = big ? "big-box" : "small-box";
      discovery.put(cache.id, Discovery.entry(cache, kind, "active", big ? 1.0 : 0.4, 0));
    }
    Node.Setup setup = new Node.Setup();
    setup.temporary = temporary;
    setup.discoveryPort = discovery.port();
    setup.known = discovery.list();
    Node node = Node.start(root, setup);
    Usual usual = new Usual(record, node.port);
    usual.start(10, 50);
    Threads.sleep(4000);
    for (int i = 0; i < CLIENTS; i++) {
      sendMuch(node.port, i);
      Threads.sleep(1000);
    }
    Threads.sleep(2500);
    usual.end();
    record.say(usual.toString());
    record.say("attempts for clients that sent much at once: " + attempts + ", of these " + late
        + " began more than 0.15 s after the client's close, the latest "
        + Math.round(latest) + " ms after it");
    if (attempts.get() == 0 || usual.served.get() == 0) {
      throw new IOException("nothing came to the cache servers");
    }
    return late.get() == 0;
  }

  private void sendMuch(int port, int number) throws IOException {
    Client client = new Client(port);
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < READS; i++) {
      // A square that was not asked for lately.
      text.append(Client.read("new-" + number, "m" + number + "-" + i, 2000));
    }
    String value = "x".repeat(WRITE_BYTES);
    for (int i = 0; i < WRITES; i++) {
      text.append(Client.write("new-" + number, "m" + number + "-w" + i, 1000, value));
    }
    client.send(text.toString());
    if (trouble) {
      client.close();
      closedAt.put(number, System.nanoTime());
      record.line("client " + number + " has sent " + text.length() + " bytes and closed");
    } else {
      record.line("client " + number + " has sent " + text.length() + " bytes and stays");
      Threads.start(
          () -> {
            try (client) {
              client.socket.setSoTimeout(3000);
              while (client.answer() != null) {}
            } catch (IOException e) {
              // It has all that it gets.
            }
          });
    }
  }
}
