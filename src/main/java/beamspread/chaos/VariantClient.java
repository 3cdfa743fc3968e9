package beamspread.chaos;

import beamspread.standin.VariantValues;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A client of one node: reads variants of a few objects, and holds each answer against the truth.
 */
final class VariantClient implements Runnable {
  static final String[] CLASSES = {"phone", "tablet", "desktop", "watch"};
  static final int OBJECTS = 4;
  static final String FAMILY = "page/";

  /** The fact of an answer that was another variant's: for how long it had not been this one's. */
  static final String STALE = "stale_nanos";

  /** The fact that tells the agent of the node that answered. */
  static final String AGENT = "node_agent";

  private static final int WAIT_MILLIS = 700;
  private static final int PACE_MILLIS = 4;

  private final String name;
  private final String agent;
  private final LineClient node;
  private final VariantValues values;
  private final Stage stage;
  private final SplittableRandom random;
  private volatile boolean stop;
  private volatile long answered;
  private volatile String write;
  private long number;

  VariantClient(
      String name, String agent, InetSocketAddress node, VariantValues values, Stage stage) {
    this.agent = agent;
    this.name = name;
    this.node = new LineClient(node, WAIT_MILLIS, 2 * WAIT_MILLIS);
    this.values = values;
    this.stage = stage;
    this.random = new SplittableRandom(stage.seed() * 31 + name.hashCode());
  }

  /** Asks nothing more. */
  void stop() {
    stop = true;
  }

  /** Writes this key with its next request. */
  void write(String key) {
    write = key;
  }

  /** How many reads had a value. */
  long answered() {
    return answered;
  }

  static String key(int deviceClass, int object) {
    return FAMILY + CLASSES[deviceClass] + "/" + object;
  }

  @Override
  public void run() {
    try {
      while (!stop) {
        ask();
        TimeUnit.MILLISECONDS.sleep(PACE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      node.close();
    }
  }

  private void ask() {
    String written = write;
    String id = name + "-" + ++number;
    try {
      if (written != null) {
        write = null;
        node.send(
            "ms %s 5 O%s Pc=put,d=%d,k=%s\r\nvalue\r\n".formatted(written, id, WAIT_MILLIS, id));
        node.line();
        return;
      }
      String key = key(random.nextInt(CLASSES.length), random.nextInt(OBJECTS));
      long from = System.nanoTime();
      node.send("mg %s v O%s Pc=read,d=%d\r\n".formatted(key, id, WAIT_MILLIS));
      if (node.line().startsWith("VA ")) {
        answered++;
        hold(key, node.line(), from);
      }
    } catch (IOException e) {
      node.close();
    }
  }

  private void hold(String key, String value, long from) {
    long stale = values.staleNanos(key, value, from);
    if (stale > 0) {
      stage.tell(
          History.What.TOLD, name, key + " was answered with " + value, STALE, stale, AGENT, agent);
    }
  }
}
