import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** What all cases share: the arguments, a temporary folder, the record, and the end. */
abstract class Case {
  final Path root;
  final Path folder;
  final boolean trouble;
  final Path temporary;
  final Record record;

  /** Arguments: the repository's folder, the case's folder, whether there is trouble (0 or 1). */
  Case(String[] arguments) throws IOException {
    root = Path.of(arguments[0]);
    folder = Path.of(arguments[1]);
    trouble = !arguments[2].equals("0");
    temporary = Files.createTempDirectory("review");
    record = new Record(folder.resolve("record.txt"));
    record.say(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  }

  /** Plays the case; returns whether the rule held. */
  abstract boolean play() throws Exception;

  /** Plays the case and ends this process: 0 if the rule held, 1 if not, 2 if it could not run. */
  final void run() {
    Runtime.getRuntime().addShutdownHook(new Thread(Node::endAll));
    Threads.start(
        () -> {
          Threads.sleep(115_000);
          record.say("the case took too long");
          Runtime.getRuntime().exit(2);
        });
    int code;
    try {
      code = play() ? 0 : 1;
      record.say(code == 0 ? "the rule held" : "the rule was broken");
    } catch (Exception e) {
      e.printStackTrace();
      record.say("could not run: " + e);
      code = 2;
    }
    Node.endAll();
    try (Stream<Path> files = Files.list(temporary)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".log")).sorted().toList()) {
        record.line("log of " + file.getFileName());
        Files.readAllLines(file).stream().limit(60).forEach(line -> record.line("  | " + line));
      }
    } catch (IOException e) {
      record.line("no log: " + e);
    }
    record.close();
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // What is left is in the folder for temporary files.
    }
    Runtime.getRuntime().halt(code);
  }

  static long between(long least, long most) {
    return ThreadLocalRandom.current().nextLong(least, most + 1);
  }
}
