package beamspread.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of hollow nodes or agents, or a real one of either, as this process sees it. */
final class HollowFleet implements AutoCloseable {
  /** Heap for each that a host holds, and for the host itself, in MB. */
  static final int EACH_MB = 4;

  static final int HOST_MB = 200;

  private static final String SAYS = "hollow: ";
  private final Process process;
  private final BufferedReader from;
  private final OutputStream to;
  private final Path log;

  private HollowFleet(Process process, Path log) {
    this.process = process;
    this.log = log;
    from =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    to = process.getOutputStream();
  }

  /** A process that holds one node or agent for each of these files; returns once all listen. */
  static HollowFleet start(String what, Path folder, List<Path> files) throws IOException {
    List<String> words = java(HOST_MB + files.size() * EACH_MB);
    words.addAll(
        List.of("-cp", System.getProperty("java.class.path"), HollowHost.class.getName(), what));
    files.forEach(file -> words.add(file.toString()));
    HollowFleet fleet = launch(words, folder.resolve("hollow-" + what + ".log"), null);
    if (!fleet.answer().equals("ready")) {
      throw new IOException("no start: " + Files.readString(fleet.log));
    }
    return fleet;
  }

  /** A real node of this configuration, as the deployment starts it. */
  static HollowFleet node(Path folder, Path config) throws IOException {
    List<String> words = java(32);
    words.addAll(
        List.of(
            "-Xms32m",
            "-Xmn12m",
            "-XX:MaxDirectMemorySize=32m",
            "-Dio.netty.jfr.enabled=false",
            "-cp",
            System.getProperty("java.class.path"),
            "beamspread.Main",
            "serve"));
    return launch(words, folder.resolve("node.log"), config);
  }

  /** A real agent of this file. */
  static HollowFleet agent(Path folder, Path file) throws IOException {
    List<String> words = java(64);
    words.addAll(
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            "beamspread.cli.Main",
            "agent",
            "--config",
            file.toString()));
    return launch(words, folder.resolve("agent.log"), null);
  }

  private static List<String> java(int heapMb) {
    return new ArrayList<>(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Xss512k",
            "-Xmx" + heapMb + "m"));
  }

  private static HollowFleet launch(List<String> words, Path log, Path config) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(words).redirectError(log.toFile());
    if (config != null) {
      builder.environment().put("ROUTER_CONFIG", config.toString());
    }
    return new HollowFleet(builder.start(), log);
  }

  /** Asks a host; what it answers. */
  String ask(String line) throws IOException {
    to.write((line + "\n").getBytes(StandardCharsets.UTF_8));
    to.flush();
    return answer();
  }

  private String answer() throws IOException {
    for (String line = from.readLine(); line != null; line = from.readLine()) {
      if (line.startsWith(SAYS)) {
        return line.substring(SAYS.length());
      }
    }
    throw new IOException("the process ended: " + Files.readString(log));
  }

  /** What it has written as its errors. */
  String said() throws IOException {
    return Files.readString(log);
  }

  ProcessSample sample() throws IOException {
    return ProcessSample.of(process.pid());
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
