package beamspread.cli;

import beamspread.agent.Agent;
import beamspread.fleet.AgentCallException;
import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.Selection;
import beamspread.fleet.api.Api;
import beamspread.fleet.config.TomlFaults;
import beamspread.record.RecordException;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/** A fleet in a folder of its own, for the demo and for measurements; it leaves nothing behind. */
final class Scratch implements AutoCloseable {
  private static final long READY_NANOS = 120_000_000_000L;

  private final Path folder;
  private final List<Agent> agents = new ArrayList<>();
  private final List<String> agentFolders = new ArrayList<>();

  /** Ends what was started also where the user ends this process. */
  private final Thread atExit = new Thread(this::end, "scratch");

  private boolean ended;

  Scratch() throws IOException {
    this(Path.of(System.getProperty("java.io.tmpdir")));
  }

  /** In a folder of its own within this one. */
  Scratch(Path within) throws IOException {
    folder = Files.createTempDirectory(within, "beamspread");
    Runtime.getRuntime().addShutdownHook(atExit);
  }

  Path folder() {
    return folder;
  }

  /** The virtual machine of a small process. */
  static List<String> java(String... options) {
    List<String> words = new ArrayList<>();
    words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    words.addAll(
        List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xss512k"));
    words.addAll(List.of(options));
    return words;
  }

  /** The command of a node: the lean jar where it stands beside this one. */
  static List<String> node() {
    List<String> words = java("-Xms32m", "-Xmx32m", "-Dio.netty.jfr.enabled=false");
    Path lean =
        Path.of(System.getProperty("java.class.path"))
            .toAbsolutePath()
            .resolveSibling("beamspread.jar");
    if (Files.exists(lean)) {
      words.addAll(List.of("-jar", lean.toString(), "serve"));
    } else {
      words.addAll(
          List.of("-cp", System.getProperty("java.class.path"), "beamspread.Main", "serve"));
    }
    return words;
  }

  /** One instance of an agent's file; its configuration must be there. */
  static String instance(String name, String zone, List<String> command) {
    StringBuilder words = new StringBuilder();
    command.forEach(word -> words.append('"').append(word).append("\", "));
    return """
        [[instance]]
        name = "%s"
        zone = "%s"
        command = [%s]
        config = "%s.json"
        status_socket = "%s.sock"
        """
        .formatted(name, zone, words, name, name);
  }

  /** Starts an agent over these instances, which are numbered from {@code from}. */
  Agent agent(String name, int from, int count, IntFunction<String> instance)
      throws IOException, TomlFaults, RecordException, InterruptedException {
    Path file = folder.resolve(name + ".toml");
    StringBuilder toml =
        new StringBuilder(
            """
            name = "%s"
            folder = "%s"
            [api]
            listen = "127.0.0.1:0"
            [defaults]
            start_s = 60
            """
                .formatted(name, folder.resolve(name)));
    for (int i = from; i < from + count; i++) {
      toml.append(instance.apply(i));
    }
    Files.writeString(file, toml);
    Agent agent = Agent.start(file);
    agents.add(agent);
    agentFolders.add(folder.resolve(name).toString());
    return agent;
  }

  /** Ends what an agent's folder names when this is closed. */
  void keep(String agentFolder) {
    agentFolders.add(folder.resolve(agentFolder).toString());
  }

  /** The fleet of these agents. */
  Fleet fleet(List<Agent> of) throws IOException {
    List<Inventory.AgentEntry> entries = new ArrayList<>();
    for (int i = 0; i < of.size(); i++) {
      entries.add(
          new Inventory.AgentEntry("agent-" + (i + 1), URI.create(of.get(i).url()), null, null));
    }
    return new Fleet(new Inventory(entries, 5_000_000_000L, 30_000_000_000L));
  }

  /** All instances, once each runs. */
  static List<Api.InstanceView> awaitRunning(Fleet fleet, int count)
      throws InterruptedException, AgentCallException {
    long until = System.nanoTime() + READY_NANOS;
    while (true) {
      List<Api.InstanceView> all = Fleet.flat(fleet.instances(Selection.all()));
      long running = all.stream().filter(one -> one.state().equals("running")).count();
      if (running == count) {
        return all;
      }
      if (System.nanoTime() > until) {
        throw new IllegalStateException(running + " of " + count + " instances run after 120 s");
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  @Override
  public void close() {
    end();
    try {
      Runtime.getRuntime().removeShutdownHook(atExit);
    } catch (IllegalStateException e) {
      // The process ends, and the hook has nothing left to do.
    }
  }

  private synchronized void end() {
    if (ended) {
      return;
    }
    ended = true;
    agents.forEach(Agent::close);
    try {
      for (String run : agentFolders) {
        try (var files = Files.list(Path.of(run))) {
          files.filter(one -> one.toString().endsWith(".pid")).forEach(Agent::stopLeftBehind);
        }
      }
      try (var all = Files.walk(folder)) {
        for (Path file : all.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      }
    } catch (IOException e) {
      System.err.println("left behind in " + folder + ": " + e.getMessage());
    }
  }
}
