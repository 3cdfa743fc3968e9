package beamspread.cli;

import beamspread.agent.Agent;
import beamspread.fleet.Fleet;
import beamspread.fleet.Report;
import beamspread.fleet.RolloutOptions;
import beamspread.fleet.RolloutPlan;
import beamspread.fleet.RolloutRunner;
import beamspread.fleet.Selection;
import beamspread.fleet.Target;
import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import beamspread.standin.CacheServer;
import beamspread.standin.Discovery;
import beamspread.standin.NodeConfigFile;
import beamspread.standin.StandInNode;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Times a fleet-wide reload, and watches an idle agent. */
@Command(
    name = "reload",
    description =
        "Measures a fleet-wide reload at several sizes, from the command's start to the last"
            + " result, and what an idle agent costs.",
    mixinStandardHelpOptions = true,
    footer = {"", "Example: ./beamspread measure reload --sizes 3,10,30,100 --rounds 7"})
final class MeasureReload implements Callable<Integer> {
  private static final int MOST_INSTANCES = 1024;

  @Option(
      names = "--sizes",
      split = ",",
      defaultValue = "3,10,30",
      description = "numbers of instances, 1 to 1024 each (default: 3,10,30)")
  private List<Integer> sizes;

  @Option(names = "--real", description = "over real nodes, not over small stand-in processes")
  private boolean real;

  @Option(names = "--rounds", defaultValue = "5", description = "reloads per size (default: 5)")
  private int rounds;

  @Option(names = "--agents", defaultValue = "3", description = "agents (default: 3)")
  private int agents;

  @Option(
      names = "--idle",
      paramLabel = "SECONDS",
      defaultValue = "10",
      description = "how long the idle agent is watched (default: 10)")
  private int idle;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** The command of a small process that behaves as a node does towards its agent. */
  static List<String> standIn(Path folder, String name) {
    List<String> words = new ArrayList<>(Scratch.java("-Xmx8m"));
    words.addAll(
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            StandInNode.class.getName(),
            folder.resolve(name + ".sock").toString(),
            folder.resolve(name + ".journal").toString()));
    return words;
  }

  @Override
  public Integer call() throws Exception {
    PrintWriter out = spec.commandLine().getOut();
    if (agents < 1 || agents > 20 || rounds < 1 || rounds > 1000 || idle < 1 || idle > 600) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--agents 1 to 20, --rounds 1 to 1000, --idle 1 to 600");
    }
    for (int size : sizes) {
      if (size < agents || size > MOST_INSTANCES) {
        throw new CommandLine.ParameterException(
            spec.commandLine(),
            "a size must be between the number of agents and " + MOST_INSTANCES);
      }
    }
    out.println(
        (real ? "nodes" : "stand-ins")
            + "  agents  reload of all, ms, within a process | as a command"
            + " (least, median, most of "
            + rounds
            + ")");
    out.flush();
    boolean good = true;
    for (int size : sizes) {
      good &= reloads(out, size);
    }
    idle(out);
    return good ? 0 : 1;
  }

  private static String instance(Scratch scratch, int number) {
    return Scratch.instance(
        "n" + number, "z" + number % 2, standIn(scratch.folder(), "n" + number));
  }

  private static void configure(Scratch scratch, int number) throws IOException {
    Files.writeString(scratch.folder().resolve("n" + number + ".json"), "{}\n");
  }

  private boolean reloads(PrintWriter out, int size) throws Exception {
    var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (Scratch scratch = new Scratch()) {
      List<CacheServer> servers = List.of(new CacheServer(group.next(), 1000, 1000));
      Discovery discovery = new Discovery(group.next(), servers);
      List<Agent> running = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        configure(scratch, i);
        if (real) {
          Files.writeString(
              scratch.folder().resolve("n" + i + ".json"),
              NodeConfigFile.text(
                  "n" + i,
                  i,
                  size,
                  discovery.address(),
                  servers,
                  scratch.folder().resolve("n" + i + ".sock")));
        }
      }
      for (int a = 0; a < agents; a++) {
        int from = size * a / agents;
        int to = size * (a + 1) / agents;
        running.add(scratch.agent("agent-" + (a + 1), from, to - from, i -> instance(scratch, i)));
      }
      long[] millis = new long[rounds];
      try (Fleet fleet = scratch.fleet(running)) {
        Scratch.awaitRunning(fleet, size);
        for (int round = 0; round < rounds; round++) {
          List<Target> targets = Selection.all().of(Fleet.flat(fleet.instances(Selection.all())));
          long began = System.nanoTime();
          Report report =
              new RolloutRunner(fleet, RolloutRunner.Limits.usual(), result -> {})
                  .run(
                      "measure-" + size + "-" + round,
                      "measure",
                      new RolloutPlan(
                          Kind.RELOAD, RolloutOptions.usual(Kind.RELOAD, size), targets),
                      Map.of(),
                      List.of());
          millis[round] = (System.nanoTime() - began) / 1_000_000;
          if (report.count(Outcome.SUCCEEDED) != size) {
            out.println("not all succeeded: " + report);
            return false;
          }
        }
      }
      long[] whole = new long[rounds];
      for (int round = 0; round < rounds; round++) {
        whole[round] = command(scratch, running);
        if (whole[round] < 0) {
          out.println("the command failed");
          return false;
        }
      }
      out.printf("%9d  %6d  %s | %s%n", size, agents, spread(millis), spread(whole));
      out.flush();
      return true;
    } finally {
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  static String spread(long[] values) {
    Arrays.sort(values);
    return values[0] + ", " + values[values.length / 2] + ", " + values[values.length - 1];
  }

  /** Milliseconds from the start of a command's process to its end; -1 if it did not succeed. */
  private static long command(Scratch scratch, List<Agent> agents) throws Exception {
    StringBuilder inventory = new StringBuilder();
    for (int i = 0; i < agents.size(); i++) {
      inventory.append(
          "[[agent]]\nname = \"agent-%d\"\nurl = \"%s\"\n".formatted(i + 1, agents.get(i).url()));
    }
    Path file = scratch.folder().resolve("fleet.toml");
    Files.writeString(file, inventory);
    List<String> words = Scratch.java("-Xshare:auto");
    words.addAll(
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "fleet",
            "-i",
            file.toString(),
            "reload",
            "--all",
            "-o",
            "json"));
    long began = System.nanoTime();
    Process process =
        new ProcessBuilder(words)
            .redirectErrorStream(true)
            .redirectOutput(scratch.folder().resolve("command.out").toFile())
            .start();
    int code = process.waitFor();
    return code == 0 ? (System.nanoTime() - began) / 1_000_000 : -1;
  }

  /** An agent as a process of its own with thirty instances that do nothing. */
  private void idle(PrintWriter out) throws Exception {
    try (Scratch scratch = new Scratch()) {
      StringBuilder toml =
          new StringBuilder(
              "name = \"idle\"\nfolder = \"idle\"\n[api]\nlisten = \"127.0.0.1:0\"\n");
      for (int i = 0; i < 30; i++) {
        configure(scratch, i);
        toml.append(instance(scratch, i));
      }
      Path file = scratch.folder().resolve("idle.toml");
      Files.writeString(file, toml);
      scratch.keep("idle");
      List<String> words = Scratch.java("-Xmx64m");
      words.addAll(
          List.of(
              "-cp",
              System.getProperty("java.class.path"),
              Main.class.getName(),
              "agent",
              "--config",
              file.toString()));
      Process agent =
          new ProcessBuilder(words)
              .redirectErrorStream(true)
              .redirectOutput(scratch.folder().resolve("idle.log").toFile())
              .start();
      try {
        Path url = scratch.folder().resolve("idle/url");
        for (int i = 0; i < 2000 && !Files.exists(url); i++) {
          TimeUnit.MILLISECONDS.sleep(10);
        }
        TimeUnit.SECONDS.sleep(5);
        long before = ticks(agent.pid());
        TimeUnit.SECONDS.sleep(idle);
        long used = ticks(agent.pid()) - before;
        String rss =
            Files.readAllLines(Path.of("/proc/" + agent.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS"))
                .findFirst()
                .orElse("");
        out.printf(
            "idle agent, 30 instances: %.2f %% of a core over %d s, %s%n",
            (double) used / idle, idle, rss.replaceAll("\\s+", " "));
        out.flush();
      } finally {
        agent.destroy();
        agent.waitFor(10, TimeUnit.SECONDS);
        agent.destroyForcibly();
      }
    }
  }

  /** Processor time in hundredths of a second (proc(5), stat, fields 14 and 15). */
  private static long ticks(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
  }
}
