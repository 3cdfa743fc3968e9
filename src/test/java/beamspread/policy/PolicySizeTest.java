package beamspread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The decision module stays small enough to port by hand, and the deploy file names all of it. */
class PolicySizeTest {
  private static final int LIMIT = 1200;

  @Test
  void staysWithinItsLimitAndIsNamedWhole() throws IOException {
    Path folder = Path.of("src/main/java/beamspread/policy");
    String deploy = Files.readString(Path.of("deploy/balancer.toml"));
    long lines = 0;
    TreeSet<String> named = new TreeSet<>();
    TreeSet<String> present = new TreeSet<>();
    List<Path> files;
    try (var list = Files.list(folder)) {
      files = list.toList();
    }
    for (Path file : files) {
      present.add(file.getFileName().toString());
      if (deploy.contains("\"" + file.toString().replace('\\', '/') + "\"")) {
        named.add(file.getFileName().toString());
      }
      lines += Files.readAllLines(file).stream().filter(line -> !line.isBlank()).count();
    }
    assertEquals(present, named);
    assertTrue(lines <= LIMIT, lines + " lines");
  }
}
