package beamspread.chaos;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One process of the program, which is stopped, killed and started again. What it writes goes into
 * a file; each start and end goes into the history as the system has it. For one thread at a time.
 */
public final class Program {
  private static final long END_SECONDS = 30;

  /** A log is read up to this much of its end. */
  private static final int MOST_LOG = 64 << 10;

  private final String name;
  private final List<String> command;
  private final Map<String, String> environment;
  private final Path folder;
  private final BooleanSupplier ready;
  private final History history;
  private volatile Process process;
  private int starts;

  /**
   * A process that is not started yet.
   *
   * @param folder where it runs; its log is there
   * @param ready whether it answers, asked again and again after a start
   */
  public Program(
      String name,
      List<String> command,
      Map<String, String> environment,
      Path folder,
      BooleanSupplier ready,
      History history) {
    this.name = name;
    this.command = List.copyOf(command);
    this.environment = Map.copyOf(environment);
    this.folder = folder;
    this.ready = ready;
    this.history = history;
  }

  /** A command of the operations jar's, as a process of its own with this much heap. */
  public static List<String> operations(int heapMb, String... words) {
    List<String> command = java(heapMb);
    command.add("-Dlogback.statusListenerClass=ch.qos.logback.core.status.NopStatusListener");
    command.addAll(List.of("-cp", classPath(), "beamspread.cli.Main"));
    command.addAll(List.of(words));
    return command;
  }

  /** What this process runs from, wherever another is started. */
  static String classPath() {
    return Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
        .map(entry -> Path.of(entry).toAbsolutePath().toString())
        .collect(Collectors.joining(File.pathSeparator));
  }

  /** A virtual machine that starts fast and stays small. */
  public static List<String> java(int heapMb) {
    return new ArrayList<>(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx" + heapMb + "m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Xshare:auto",
            "-Xss512k"));
  }

  /** Whether it has been started and has not ended. */
  public boolean alive() {
    Process now = process;
    return now != null && now.isAlive();
  }

  /** Starts it without waiting. */
  public void start() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .directory(folder.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
    builder.environment().putAll(environment);
    Process started = builder.start();
    process = started;
    starts++;
    history.tell(
        System.nanoTime(),
        History.What.STARTED,
        name,
        "process " + started.pid() + (starts > 1 ? ", start " + starts : ""),
        "pid",
        started.pid());
    started
        .onExit()
        .thenAccept(
            ended ->
                history.tell(
                    System.nanoTime(),
                    History.What.ENDED,
                    name,
                    "process " + ended.pid() + ", exit code " + ended.exitValue(),
                    "pid",
                    ended.pid(),
                    "exit",
                    ended.exitValue()));
  }

  /**
   * Waits until it answers.
   *
   * @throws IOException if it ends first, or does not within this time; with the end of its log
   */
  public void awaitReady(long seconds) throws IOException, InterruptedException {
    long until = System.nanoTime() + seconds * 1_000_000_000L;
    // Also where something answers: it may be another process, on the port of one that has ended.
    while (!alive() || !ready.getAsBoolean()) {
      if (!alive() || System.nanoTime() > until) {
        throw new IOException(
            name + (alive() ? " does not answer: " : " has ended: ") + logEnd().strip());
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  /** Stops it as a machine that stands still does, or has it go on; nothing if it has ended. */
  public void signal(String signal) throws IOException, InterruptedException {
    if (alive()) {
      signal(signal, process.pid());
    }
  }

  /**
   * Whether a process runs, by what the system says of it. One that has ended and that its parent
   * has not noticed yet does not: a parent that stands still notices nothing.
   */
  static boolean runs(long pid) {
    try {
      String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      char state = stat.charAt(stat.lastIndexOf(')') + 2);
      return state != 'Z' && state != 'X';
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a signal to a process that this one has started. */
  public static void signal(String signal, long pid) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid))
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start()
        .waitFor();
  }

  /** Kills it and waits until it is gone. */
  public void kill() throws InterruptedException {
    Process now = process;
    if (now != null) {
      now.destroyForcibly().waitFor();
    }
  }

  /** Tells it to end; kills it if it does not. Returns whether it ended by itself. */
  public boolean end() throws InterruptedException {
    Process now = process;
    if (now == null || !now.isAlive()) {
      return true;
    }
    now.destroy();
    if (now.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
      return true;
    }
    kill();
    return false;
  }

  private Path log() {
    return folder.resolve(name + ".log");
  }

  /** The end of what it has written. */
  public String logEnd() throws IOException {
    if (!Files.exists(log())) {
      return "";
    }
    byte[] all = Files.readAllBytes(log());
    int from = Math.max(0, all.length - MOST_LOG);
    return new String(all, from, all.length - from, StandardCharsets.UTF_8);
  }
}
