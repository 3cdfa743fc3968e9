import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** Usual requests while other clients send hundreds of commands at once. */
final class Case2 extends Case {
  private static final int BAD_CLIENTS = 280;
  private static final int SHORT_COMMANDS = 260;
  private static final int LONG_COMMANDS = 220;
  private static final int LONG_BYTES = 270;

  private final AtomicInteger sent = new AtomicInteger();
  private volatile boolean over;

  private Case2(String[] arguments) throws IOException {
    super(arguments);
  }

  public static void main(String[] arguments) throws IOException {
    new Case2(arguments).run();
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
    Node node = Node.start(root, setup);
    Usual usual = new Usual(record, node.port, "u");
    usual.start(20, 40);
    Threads.sleep(5000);
    record.say("before: " + usual);
    if (trouble) {
      for (int i = 0; i < BAD_CLIENTS; i++) {
        int number = i;
        Threads.start(() -> sendAtOnce(node.port, number));
      }
    }
    Threads.sleep(8000);
    over = true;
    record.say("bad clients have sent their " + (SHORT_COMMANDS + LONG_COMMANDS)
        + " commands at once " + sent + " times");
    record.say("after 8 s: " + usual);
    usual.end();
    record.say("at the end: " + usual);
    record.say("process alive: " + node.process.isAlive() + "; a new client gets MN after "
        + node.millisToAnswer() + " ms (-1: not within 10 s)");
    if (usual.served.get() < 500) {
      throw new IOException("too few requests were served to judge");
    }
    return usual.lost.get() == 0 && node.process.isAlive();
  }

  /** Sends hundreds of commands at once, reads the answers, and does so again when turned away. */
  private void sendAtOnce(int port, int number) {
    for (int turn = 0; turn < 5 && !over; turn++) {
      try (Client client = new Client(port)) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < SHORT_COMMANDS + LONG_COMMANDS; i++) {
          String id = "b" + number + "-" + turn + "-" + i;
          String key = "square-" + i;
          int rest = LONG_BYTES - Client.read(key, id, 2000).length();
          text.append(
              Client.read(i < SHORT_COMMANDS ? key : key + "x".repeat(rest), id, 2000));
        }
        client.send(text.toString());
        sent.incrementAndGet();
        for (int i = 0; i < SHORT_COMMANDS + LONG_COMMANDS && !over; i++) {
          if (client.answer() == null) {
            break;
          }
        }
      } catch (IOException e) {
        Threads.sleep(100);
      }
    }
  }
}
