package beamspread.agent;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Processes of this machine, as proc(5) tells them. A process that is started here writes its own
 * number, start time and boot id to a file before it becomes the instance's command: whenever the
 * agent dies, what it started can be found. It runs in a session of its own, so that what ends the
 * agent, a closed terminal too, does not end it, and its output goes to a file, not to the agent.
 */
final class ProcessTable {
  /** The shell's part, in place of which the command runs: the process stays the same. */
  private static final String LAUNCHER =
      """
      limit=$1; file=$2; shift 2
      if [ "$limit" -gt 0 ]; then ulimit -n "$limit" || exit 126; fi
      read -r stat < /proc/$$/stat
      read -r boot < /proc/sys/kernel/random/boot_id
      printf '%s\\n%s\\n' "$stat" "$boot" > "$file" || exit 126
      if env --default-signal=HUP true > /dev/null 2>&1; then
        # An agent that was started by nohup ignores SIGHUP; its nodes are to take it.
        set -- env --default-signal=HUP "$@"
      fi
      if command -v setsid > /dev/null 2>&1; then exec setsid "$@"; fi
      exec "$@"
      """;

  private final String boot = boot();

  private static String boot() {
    try {
      return Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip();
    } catch (IOException e) {
      throw new IllegalStateException("the agent needs Linux's /proc: " + e.getMessage(), e);
    }
  }

  /**
   * Starts a process.
   *
   * @param descriptors how many files it may have open, 0 for as many as the agent
   * @param ended told, on some thread, when it has ended, and with which exit code
   */
  ProcessId launch(
      List<String> command,
      Map<String, String> environment,
      int descriptors,
      Path folder,
      Path log,
      Path pidFile,
      BiConsumer<ProcessId, Integer> ended)
      throws IOException {
    List<String> words =
        new ArrayList<>(
            List.of(
                "/bin/sh",
                "-c",
                LAUNCHER,
                "sh",
                Integer.toString(descriptors),
                pidFile.toString()));
    words.addAll(command);
    ProcessBuilder builder = new ProcessBuilder(words);
    builder.environment().putAll(environment);
    builder.directory(folder.toFile());
    builder.redirectErrorStream(true);
    builder.redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    Process process = builder.start();
    ProcessId id = identify(process.pid());
    ProcessId known = id == null ? new ProcessId(process.pid(), 0, boot) : id;
    process.onExit().thenAccept(over -> ended.accept(known, over.exitValue()));
    return known;
  }

  /** Who has this number now; null if nobody does, or only the remains of one that has ended. */
  ProcessId identify(long pid) {
    try {
      return parse(Files.readString(Path.of("/proc/" + pid + "/stat")), boot);
    } catch (IOException e) {
      return null;
    }
  }

  private static ProcessId parse(String stat, String boot) {
    int name = stat.lastIndexOf(')');
    if (name < 0) {
      return null;
    }
    String[] fields = stat.substring(name + 1).strip().split(" ");
    if (fields.length < 20 || fields[0].equals("Z") || fields[0].equals("X")) {
      return null;
    }
    try {
      return new ProcessId(
          Long.parseLong(stat.substring(0, stat.indexOf(' '))), Long.parseLong(fields[19]), boot);
    } catch (NumberFormatException e) {
      return null;
    }
  }

  /** Whether this very process runs. */
  boolean runs(ProcessId id) {
    return id.equals(identify(id.pid()));
  }

  /** The process that a pid file names, if it still runs; null otherwise. */
  ProcessId adopt(Path pidFile) {
    String text;
    try {
      text = Files.readString(pidFile, StandardCharsets.UTF_8);
    } catch (IOException e) {
      return null;
    }
    String[] lines = text.split("\n", -1);
    // Two whole lines: one cut short tells nothing.
    if (lines.length != 3 || !lines[1].equals(boot)) {
      return null;
    }
    ProcessId written = parse(lines[0], boot);
    return written != null && runs(written) ? written : null;
  }

  /** Sends a signal, to this very process only. */
  void signal(ProcessId id, String name) {
    if (!runs(id)) {
      return;
    }
    try {
      switch (name) {
        case "TERM" -> ProcessHandle.of(id.pid()).ifPresent(ProcessHandle::destroy);
        case "KILL" -> ProcessHandle.of(id.pid()).ifPresent(ProcessHandle::destroyForcibly);
        default ->
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + id.pid())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor(2, TimeUnit.SECONDS);
      }
    } catch (IOException | IllegalStateException e) {
      // It has ended meanwhile, or a shell could not be started: the step's time limit tells.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
