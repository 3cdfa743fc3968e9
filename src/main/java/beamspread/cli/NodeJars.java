package beamspread.cli;

import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Parameters;

/** The nodes that a measurement is made on, in turn. */
final class NodeJars {
  @Parameters(
      paramLabel = "JAR",
      arity = "0..8",
      defaultValue = "target/beamspread.jar",
      description = "node jars (default: target/beamspread.jar)")
  private List<Path> jars;

  List<Path> all() {
    return jars;
  }

  /** Whether a jar is the last one, whose figures decide the exit code. */
  boolean last(Path jar) {
    return jar == jars.get(jars.size() - 1);
  }
}
