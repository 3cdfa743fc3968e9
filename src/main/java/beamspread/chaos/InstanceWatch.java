package beamspread.chaos;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Looks at the instances under the agents themselves, past everybody who could be mistaken: what
 * each wrote down of its starts and reloads, and whether its process is there.
 */
final class InstanceWatch implements Runnable {
  private static final int EVERY_MILLIS = 4;

  private static final class Seen {
    private final Path journal;
    private long read;
    private volatile long pid = -1;
    private boolean up;

    Seen(Path journal) {
      this.journal = journal;
    }
  }

  private final Stage stage;
  private final Map<String, Seen> instances = new LinkedHashMap<>();
  private volatile boolean stop;

  /**
   * A watch.
   *
   * @param journals by instance, where it writes down what it saw
   */
  InstanceWatch(Map<String, Path> journals, Stage stage) {
    this.stage = stage;
    journals.forEach((name, journal) -> instances.put(name, new Seen(journal)));
  }

  void stop() {
    stop = true;
  }

  /** The process of an instance; -1 before its first start. */
  long pid(String instance) {
    return instances.get(instance).pid;
  }

  @Override
  public void run() {
    try {
      while (!stop) {
        for (var one : instances.entrySet()) {
          look(one.getKey(), one.getValue());
        }
        TimeUnit.MILLISECONDS.sleep(EVERY_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      stage.tell(History.What.SEEN, Run.RIG, "cannot look: " + e.getMessage(), "broken", true);
    }
  }

  private void look(String name, Seen seen) throws IOException {
    // The end first: a process that has started since is no longer the one that ended.
    if (seen.up && !Program.runs(seen.pid)) {
      seen.up = false;
      stage.tell(
          History.What.SEEN,
          name,
          "process " + seen.pid + " is gone",
          "instance",
          name,
          "change",
          "down");
    }
    if (!Files.exists(seen.journal) || Files.size(seen.journal) == seen.read) {
      return;
    }
    byte[] all = Files.readAllBytes(seen.journal);
    String fresh =
        new String(all, (int) seen.read, all.length - (int) seen.read, StandardCharsets.UTF_8);
    int whole = fresh.lastIndexOf('\n') + 1;
    seen.read += whole;
    for (String line : fresh.substring(0, whole).split("\n")) {
      if (line.isBlank()) {
        continue;
      }
      String[] words = line.split(" ");
      boolean start = words[1].equals("start");
      if (start) {
        seen.pid = Long.parseLong(words[0]);
        seen.up = true;
      }
      stage.tell(
          History.What.SEEN,
          name,
          (start ? "runs as process " : "has read its file again, process ") + words[0],
          "instance",
          name,
          "change",
          start ? "up" : "reload");
    }
  }
}
