package beamspread;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarFile;
import org.junit.jupiter.api.Test;

/** Checks the contents of the two packaged jars. */
class JarsIT {
  /**
   * Returns the packages with at least one class; a list of classes would be too long to review.
   */
  private static TreeSet<String> packagesOf(Path jar) throws IOException {
    TreeSet<String> packages = new TreeSet<>();
    try (JarFile file = new JarFile(jar.toFile())) {
      file.stream()
          .filter(entry -> entry.getName().endsWith(".class"))
          .forEach(
              entry ->
                  packages.add(entry.getName().substring(0, entry.getName().lastIndexOf('/'))));
    }
    return packages;
  }

  @Test
  void nodeJarContainsExactlyTheListedPackages() throws IOException {
    Path list = Path.of("src/test/resources/node-jar-packages.txt");
    assertThat(packagesOf(Path.of("target/beamspread.jar")))
        .containsExactlyElementsOf(Files.readAllLines(list));
  }

  /** Without it a failing reservation of direct memory stops the node (incident 0004). */
  @Test
  void nodeJarLetsTheNetworkLibraryCountItsDirectMemory() throws IOException {
    try (JarFile file = new JarFile("target/beamspread.jar")) {
      assertThat(file.getManifest().getMainAttributes().getValue("Add-Opens"))
          .isEqualTo("java.base/java.nio");
    }
  }

  @Test
  void operationsJarRunsStandalone() throws Exception {
    Path out = Files.createTempFile("ops", ".out");
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-jar",
                "target/beamspread-ops.jar",
                "agent",
                "--config",
                "deploy/agent.toml",
                "--check")
            .redirectErrorStream(true)
            .redirectOutput(out.toFile())
            .start();
    assertThat(process.waitFor(60, TimeUnit.SECONDS)).isTrue();
    assertThat(Files.readString(out, StandardCharsets.UTF_8))
        .contains("deploy/agent.toml: good, 2 instances");
    assertThat(process.exitValue()).isZero();
    assertThat(packagesOf(Path.of("target/beamspread-ops.jar")))
        .contains("beamspread/record", "org/sqlite", "org/postgresql", "com/zaxxer/hikari");
  }
}
