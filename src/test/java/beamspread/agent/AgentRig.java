package beamspread.agent;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.AgentClient;
import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.Report;
import beamspread.fleet.RolloutOptions;
import beamspread.fleet.RolloutPlan;
import beamspread.fleet.RolloutRunner;
import beamspread.fleet.Selection;
import beamspread.fleet.Target;
import beamspread.fleet.api.Api;
import beamspread.fleet.api.Kind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** An agent over stand-in instances in a folder of a test, and operators' calls to it. */
final class AgentRig implements AutoCloseable {
  private static final long PATIENCE_MILLIS = 30_000;

  /** A small virtual machine that starts fast. */
  static final List<String> JAVA =
      List.of(
          Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-Xmx16m",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "-cp",
          System.getProperty("java.class.path"));

  final String name;
  final Path folder;
  private final StringBuilder toml = new StringBuilder();
  private final List<String> instances = new ArrayList<>();
  Agent agent;

  AgentRig(Path parent, String name) throws IOException {
    this.name = name;
    this.folder = Files.createDirectories(parent.resolve(name));
    toml.append(
        """
        name = "%s"
        folder = "run"
        [api]
        listen = "127.0.0.1:0"
        [defaults]
        start_s = 20
        stop_s = 1.5
        reload_s = 2
        backoff_first_s = 0.02
        backoff_longest_s = 0.1
        restarts = 3
        window_s = 60
        """
            .formatted(name));
  }

  static void await(String what, BooleanSupplier holds) throws InterruptedException {
    long until = System.nanoTime() + PATIENCE_MILLIS * 1_000_000;
    while (!holds.getAsBoolean()) {
      if (System.nanoTime() - until > 0) {
        throw new AssertionError("not within " + PATIENCE_MILLIS + " ms: " + what);
      }
      Thread.sleep(5);
    }
  }

  /** Adds a stand-in instance with these faults. */
  AgentRig instance(String instance, String... faults) throws IOException {
    return instance(instance, "zone" + instances.size() % 2, true, faults);
  }

  AgentRig instance(String instance, String zone, boolean status, String... faults)
      throws IOException {
    List<String> command = new ArrayList<>(JAVA);
    command.add("beamspread.standin.StandInNode");
    command.add(folder.resolve(instance + ".sock").toString());
    command.add(journal(instance).toString());
    command.addAll(List.of(faults));
    Files.writeString(config(instance), "{\"version\":1}\n");
    return raw(
        instance, zone, command, status ? "status_socket = \"" + instance + ".sock\"\n" : "");
  }

  AgentRig raw(String instance, String zone, List<String> command, String more) {
    instances.add(instance);
    StringBuilder words = new StringBuilder();
    command.forEach(word -> words.append('"').append(word).append("\", "));
    toml.append(
        """
        [[instance]]
        name = "%s"
        zone = "%s"
        command = [%s]
        config = "%s.json"
        %s
        """
            .formatted(instance, zone, words, instance, more));
    return this;
  }

  /** Has the agent find out itself how long its instances need to stop. */
  AgentRig withoutSetStopTime() {
    int at = toml.indexOf("stop_s = 1.5\n");
    toml.delete(at, at + "stop_s = 1.5\n".length());
    return this;
  }

  AgentRig append(String text) {
    toml.append(text);
    return this;
  }

  Path config(String instance) {
    return folder.resolve(instance + ".json");
  }

  Path journal(String instance) {
    return folder.resolve(instance + ".journal");
  }

  Path file() throws IOException {
    Path file = folder.resolve("agent.toml");
    Files.writeString(file, toml);
    return file;
  }

  /** What the instance itself saw, line by line. */
  List<String> saw(String instance) {
    try {
      return Files.exists(journal(instance)) ? Files.readAllLines(journal(instance)) : List.of();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  AgentRig start() throws Exception {
    return start(point -> {});
  }

  AgentRig start(Consumer<AgentCore.Point> probe) throws Exception {
    agent = Agent.start(file(), probe);
    return this;
  }

  AgentRig startAndWait() throws Exception {
    start();
    awaitRunning();
    return this;
  }

  void awaitRunning() throws Exception {
    for (String instance : instances) {
      await(instance + " runs", () -> view(instance).state().equals("running"));
    }
  }

  Inventory.AgentEntry entry() {
    return new Inventory.AgentEntry(name, java.net.URI.create(agent.url()), null, null);
  }

  Fleet fleet() throws IOException {
    return fleet(List.of(this));
  }

  static Fleet fleet(List<AgentRig> rigs) throws IOException {
    return new Fleet(
        new Inventory(
            rigs.stream().map(AgentRig::entry).toList(), 5_000_000_000L, 10_000_000_000L));
  }

  Api.InstanceView view(String instance) {
    try (Fleet fleet = fleet()) {
      return client(fleet).query(instance);
    } catch (IOException | AgentCallException e) {
      throw new AssertionError(e);
    }
  }

  AgentClient client(Fleet fleet) {
    return fleet.clients().get(name);
  }

  private static int operations;

  /** Does something to these instances, all at once. */
  Report run(Kind kind, String... names) throws Exception {
    try (Fleet fleet = fleet()) {
      return run(fleet, "op" + ++operations, kind, names);
    }
  }

  static Report run(Fleet fleet, String operation, Kind kind, String... names) throws Exception {
    List<Target> targets =
        new Selection(List.of(names), List.of(), List.of())
            .of(Fleet.flat(fleet.instances(Selection.all())));
    return new RolloutRunner(fleet, new RolloutRunner.Limits(5000, 60_000), result -> {})
        .run(
            operation,
            "anna",
            new RolloutPlan(kind, new RolloutOptions(1000, 1000, 0, 0, 0), targets),
            Map.of(),
            List.of());
  }

  /** What came of it, by instance, as OUTCOME: REASON. */
  static Map<String, String> outcomes(Report report) {
    Map<String, String> outcomes = new LinkedHashMap<>();
    report
        .results()
        .forEach(
            one ->
                outcomes.put(
                    one.instance(),
                    one.outcome().word() + (one.reason() == null ? "" : ": " + one.reason())));
    return outcomes;
  }

  /** Ends the agent as if it had been killed, as far as this process can. */
  void closeAgent() {
    agent.close();
    agent = null;
  }

  @Override
  public void close() {
    if (agent != null) {
      agent.close();
    }
    // The instances outlive the agent; not the test.
    ProcessTable processes = new ProcessTable();
    for (String instance : instances) {
      ProcessId id = processes.adopt(folder.resolve("run").resolve(instance + ".pid"));
      if (id != null) {
        processes.signal(id, "KILL");
      }
    }
  }
}
