package beamspread.chaos;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A client of a store that writes versions of a few sheets of its own, one after the other, each
 * with an idempotency key, and tries again under the same key until it is told that one is stored.
 * Only it writes these sheets, so what a read must say is known.
 */
final class SheetWriter implements Runnable {
  /** A write is waited for so long before it is tried again. */
  private static final int WAIT_MILLIS = 700;

  private static final int PACE_MILLIS = 8;
  private static final int MOST_WRITES = 20_000;

  private final String name;
  private final int sheets;
  private final LineClient store;
  private final Stage stage;
  private final SplittableRandom random;
  private final long[] asked;
  private final long[] stored;
  private final String[] ids;
  private volatile boolean stop;
  private volatile boolean ended;
  private volatile boolean quiet = true;
  private long opaque;

  SheetWriter(String name, int sheets, InetSocketAddress store, Stage stage) {
    this.name = name;
    this.sheets = sheets;
    this.store = new LineClient(store, WAIT_MILLIS, WAIT_MILLIS);
    this.stage = stage;
    this.random = new SplittableRandom(stage.seed() * 31 + name.hashCode());
    this.asked = new long[sheets];
    this.stored = new long[sheets];
    this.ids = new String[sheets];
  }

  /** Begins nothing new, and tries what is begun until it is told. */
  void stop() {
    stop = true;
  }

  /** Whether nothing is begun that it was not told of. */
  boolean quiet() {
    return quiet;
  }

  /** Asks for nothing any more. */
  void end() {
    ended = true;
  }

  @Override
  public void run() {
    try {
      for (int i = 0; i < MOST_WRITES && !stop; i++) {
        int sheet = random.nextInt(sheets);
        if (stored[sheet] > 0 && random.nextInt(3) == 0) {
          read(sheet);
        } else {
          write(sheet);
        }
        TimeUnit.MILLISECONDS.sleep(PACE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      store.close();
    }
  }

  /** What is there in the end: each sheet is read, and its last write tried once more. */
  void look() throws InterruptedException {
    for (int sheet = 0; sheet < sheets; sheet++) {
      if (stored[sheet] > 0) {
        read(sheet);
        ask(sheet, stored[sheet], true);
        read(sheet);
      }
    }
    store.close();
  }

  private void write(int sheet) throws InterruptedException {
    long version = ++asked[sheet];
    ids[sheet] = new java.util.UUID(random.nextLong(), random.nextLong()).toString();
    quiet = false;
    boolean again = false;
    while (!ended) {
      String fate = ask(sheet, version, again);
      if (fate.equals("stored")) {
        stored[sheet] = version;
        break;
      }
      if (fate.equals("refused") && !again) {
        // Nothing of it was done: the next write is another version, and this one is never seen.
        break;
      }
      again |= !fate.equals("refused");
      TimeUnit.MILLISECONDS.sleep(PACE_MILLIS);
    }
    quiet = true;
  }

  /** One try; what came of it. */
  private String ask(int sheet, long version, boolean again) {
    String key = name + "-" + sheet;
    String value = Long.toString(version);
    stage.tell(
        History.What.ASKED,
        name,
        "write " + key + " version " + version + (again ? ", again" : ""),
        "sheet",
        key,
        "version",
        version);
    String answer =
        answer(
            "ms %s %d O%x Pc=put,d=%d,k=%s%s\r\n%s\r\n"
                .formatted(
                    key,
                    value.length(),
                    ++opaque,
                    WAIT_MILLIS,
                    ids[sheet],
                    again ? ",r=1" : "",
                    value));
    String fate = "unknown";
    long receipt = -1;
    if (answer.startsWith("HD O" + Long.toHexString(opaque) + " c")) {
      fate = "stored";
      receipt = Long.parseLong(answer.substring(answer.lastIndexOf('c') + 1));
    } else if (answer.startsWith("SERVER_ERROR busy")) {
      fate = "refused";
    }
    stage.tell(
        History.What.TOLD,
        name,
        key + " version " + version + " " + fate + (answer.isEmpty() ? "" : ": " + answer),
        "sheet",
        key,
        "version",
        version,
        "fate",
        fate,
        "receipt",
        receipt);
    return fate;
  }

  private void read(int sheet) {
    String key = name + "-" + sheet;
    String answer = answer("mg %s v O%x Pc=read,d=%d\r\n".formatted(key, ++opaque, WAIT_MILLIS));
    long version = -1;
    if (answer.startsWith("VA ")) {
      version = Long.parseLong(answer.substring(answer.indexOf('\n') + 1));
    } else if (answer.equals("EN")) {
      version = 0;
    }
    if (version >= 0) {
      stage.tell(
          History.What.TOLD,
          name,
          "read " + key + " version " + version,
          "sheet",
          key,
          "read",
          version);
    }
  }

  /** The answer's line, and a value's text behind it; empty where there was none. */
  private String answer(String command) {
    try {
      store.send(command);
      String line = store.line();
      return line.startsWith("VA ") ? line + "\n" + store.line() : line;
    } catch (IOException e) {
      // Given up: what is under way on it may still be carried out.
      store.close();
      return "";
    }
  }
}
