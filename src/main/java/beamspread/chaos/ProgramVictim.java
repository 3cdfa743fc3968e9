package beamspread.chaos;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;

/** A program that the run itself has started. */
final class ProgramVictim implements Victim {
  private final Program program;
  private final List<Path> state;

  /**
   * @param state what it keeps on disk, files or folders, which a start from nothing takes away
   */
  ProgramVictim(Program program, List<Path> state) {
    this.program = program;
    this.state = List.copyOf(state);
  }

  @Override
  public void signal(String signal) throws IOException, InterruptedException {
    program.signal(signal);
  }

  @Override
  public void kill() throws InterruptedException {
    program.kill();
  }

  @Override
  public void startAgain(boolean fresh) throws IOException, InterruptedException {
    program.end();
    if (fresh) {
      for (Path one : state) {
        delete(one);
      }
    }
    program.start();
  }

  private static void delete(Path path) throws IOException {
    if (!Files.exists(path)) {
      return;
    }
    try (var all = Files.walk(path)) {
      all.sorted(Comparator.reverseOrder())
          .forEach(
              one -> {
                try {
                  Files.deleteIfExists(one);
                } catch (IOException e) {
                  throw new UncheckedIOException(e);
                }
              });
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }
}
