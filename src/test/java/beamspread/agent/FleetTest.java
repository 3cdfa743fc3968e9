package beamspread.agent;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.Report;
import beamspread.fleet.Result;
import beamspread.fleet.Resume;
import beamspread.fleet.RolloutOptions;
import beamspread.fleet.RolloutPlan;
import beamspread.fleet.RolloutRunner;
import beamspread.fleet.Selection;
import beamspread.fleet.Target;
import beamspread.fleet.api.Api;
import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import beamspread.standin.CacheServer;
import beamspread.standin.Discovery;
import beamspread.standin.NodeConfigFile;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Several agents at once, and what befalls them. */
class FleetTest {
  @TempDir Path folder;
  private final List<AgentRig> rigs = new ArrayList<>();
  private final List<Process> processes = new ArrayList<>();

  @AfterEach
  void end() throws Exception {
    for (Process process : processes) {
      process.destroyForcibly().waitFor();
    }
    rigs.forEach(AgentRig::close);
  }

  private AgentRig rig(String name) throws Exception {
    AgentRig rig = new AgentRig(folder, name);
    rigs.add(rig);
    return rig;
  }

  @Test
  void thirtyNodesUnderThreeAgentsAreReloadedAndEachIsToldOfTruthfully() throws Exception {
    var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      List<CacheServer> servers = List.of(new CacheServer(group.next(), 1000, 512));
      Discovery discovery = new Discovery(group.next(), servers);
      List<String> command = new ArrayList<>(AgentRig.JAVA);
      command.set(1, "-Xmx32m");
      command.addAll(List.of("beamspread.Main", "serve"));
      for (int a = 0; a < 3; a++) {
        AgentRig rig = rig("a" + a);
        for (int i = a * 10; i < a * 10 + 10; i++) {
          String node = "n" + i;
          Files.writeString(
              rig.config(node),
              NodeConfigFile.text(
                  node, i, 30, discovery.address(), servers, rig.folder.resolve(node + ".sock")));
          rig.raw(node, "z" + i % 2, command, "status_socket = \"" + node + ".sock\"\n");
        }
        rig.start();
      }
      for (AgentRig rig : rigs) {
        rig.awaitRunning();
      }
      // Every fifth file is cut short, every fifth lacks a figure, the others are new and whole.
      Map<String, String> expected = new HashMap<>();
      for (int i = 0; i < 30; i++) {
        Path file = rigs.get(i / 10).config("n" + i);
        String whole = Files.readString(file);
        if (i % 5 == 3) {
          Files.writeString(file, whole.substring(0, 300));
          expected.put("n" + i, "failed: refused its file: " + file + ": not JSON");
        } else if (i % 5 == 4) {
          Files.writeString(file, whole.replace("\"overload-for\":2", "\"overload-for\":0"));
          expected.put(
              "n" + i,
              "failed: refused its file: "
                  + file
                  + ": settings: contract.overload-for must be above 0, is 0.0");
        } else {
          Files.writeString(file, whole + "\n");
          expected.put("n" + i, "succeeded: generation 2");
        }
      }
      try (Fleet fleet = AgentRig.fleet(rigs)) {
        Report report = AgentRig.run(fleet, "big", Kind.RELOAD, "*");
        assertThat(AgentRig.outcomes(report)).containsExactlyInAnyOrderEntriesOf(expected);
        assertThat(report.exitCode()).isEqualTo(1);
        // What each node itself says.
        for (AgentRig rig : rigs) {
          for (Api.InstanceView view : rig.client(fleet).instances()) {
            Api.InstanceView now = rig.client(fleet).query(view.name());
            boolean good = expected.get(view.name()).startsWith("succeeded");
            assertThat(now.status().path("generation").asInt()).isEqualTo(good ? 2 : 1);
            assertThat(now.status().path("readings").asInt()).isEqualTo(2);
            assertThat(now.status().path("refusal").isNull()).isEqualTo(good);
          }
        }
      }
    } finally {
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  private String url(AgentRig rig) {
    try {
      Path file = rig.folder.resolve("run/url");
      return Files.exists(file) ? Files.readString(file).strip() : "";
    } catch (java.io.IOException e) {
      throw new AssertionError(e);
    }
  }

  private Process agentProcess(AgentRig rig, String... more) throws Exception {
    Files.deleteIfExists(rig.folder.resolve("run/url"));
    List<String> command = new ArrayList<>(AgentRig.JAVA);
    command.set(1, "-Xmx64m");
    command.addAll(List.of(KilledAgent.class.getName(), rig.file().toString()));
    command.addAll(List.of(more));
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(rig.folder.resolve("agent.log").toFile())
            .start();
    processes.add(process);
    AgentRig.await(
        "the agent listens",
        () -> {
          assertThat(process.isAlive() || !url(rig).isEmpty()).isTrue();
          return !url(rig).isEmpty();
        });
    return process;
  }

  /** The fleet of agents that are processes; one that starts anew listens where it did. */
  private Fleet fleet() throws Exception {
    List<Inventory.AgentEntry> entries = new ArrayList<>();
    for (AgentRig rig : rigs) {
      entries.add(new Inventory.AgentEntry(rig.name, URI.create(url(rig)), null, null));
    }
    return new Fleet(new Inventory(entries, 3_000_000_000L, 20_000_000_000L));
  }

  private static Map<Target, Result> byTarget(Report report) {
    Map<Target, Result> map = new HashMap<>();
    report
        .results()
        .forEach(one -> map.put(new Target(one.instance(), one.agent(), one.zone()), one));
    return map;
  }

  /** How often the instance took a file after its start, by its own word. */
  private static long hups(AgentRig rig, String instance) {
    return rig.saw(instance).stream().filter(line -> line.contains(" hup accepted ")).count();
  }

  @ParameterizedTest
  @EnumSource(AgentCore.Point.class)
  void anAgentKilledHalfwayMakesNoResultALieAndTheRestIsDoneOnResuming(AgentCore.Point point)
      throws Exception {
    for (String name : List.of("a1", "a2")) {
      AgentRig rig = rig(name);
      for (int i = 0; i < 4; i++) {
        rig.instance(name + "n" + i);
      }
    }
    Process victim = agentProcess(rigs.get(0), point.name(), "2");
    agentProcess(rigs.get(1));
    Report first;
    try (Fleet fleet = fleet()) {
      AgentRig.await("all run", () -> running(fleet) == 8);
      for (AgentRig rig : rigs) {
        for (int i = 0; i < 4; i++) {
          Files.writeString(rig.config(rig.name + "n" + i), "{\"version\":2}\n");
        }
      }
      var whole = new Inventory(fleet.inventory().agents(), 2_000_000_000L, 1_500_000_000L);
      try (Fleet hasty = new Fleet(whole)) {
        first = AgentRig.run(hasty, "cut", Kind.RELOAD, "*");
      }
    }
    assertThat(victim.waitFor(10, TimeUnit.SECONDS)).isTrue();
    assertThat(first.results()).hasSize(8);
    // A result that was told is what the instance itself saw.
    for (Result result : first.results()) {
      AgentRig rig = rigs.get(result.agent().equals("a1") ? 0 : 1);
      if (result.outcome() == Outcome.SUCCEEDED) {
        assertThat(hups(rig, result.instance())).isEqualTo(1);
      } else {
        assertThat(result.outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(result.agent()).isEqualTo("a1");
      }
    }
    assertThat(first.exitCode()).isEqualTo(3);
    // No instance went with its agent.
    Process again = agentProcess(rigs.get(0));
    assertThat(again.isAlive()).isTrue();
    try (Fleet fleet = fleet()) {
      AgentRig.await("steps cut short are closed", () -> closed(fleet));
      for (Api.StepView step : fleet.clients().get("a1").operation("cut", 0, 0).steps()) {
        // What the record says of each is what the instance saw.
        assertThat(step.outcome()).as(step.toString()).isIn(Outcome.SUCCEEDED, Outcome.FAILED);
        assertThat(hups(rigs.get(0), step.instance()))
            .as(step.toString())
            .isEqualTo(step.outcome() == Outcome.SUCCEEDED ? 1 : 0);
      }
      Map<String, Api.OperationView> views = new HashMap<>();
      for (String name : List.of("a1", "a2")) {
        views.put(name, fleet.clients().get(name).operation("cut", 0, 0));
      }
      Resume resume = Resume.of(views);
      AgentRig.await("leases of the first run have gone", () -> free(fleet));
      Report second =
          new RolloutRunner(fleet, new RolloutRunner.Limits(5000, 30_000), result -> {})
              .run("cut", "berta", resume.plan(), resume.attempts(), resume.done());
      assertThat(second.exitCode()).as(second.toString()).isZero();
      assertThat(byTarget(second)).hasSize(8);
      for (Result result : second.results()) {
        AgentRig rig = rigs.get(result.agent().equals("a1") ? 0 : 1);
        assertThat(hups(rig, result.instance())).isEqualTo(1);
        // Nobody was started anew: the same process has seen it all.
        assertThat(rig.saw(result.instance())).hasSize(2);
      }
    }
  }

  private static long running(Fleet fleet) {
    return Fleet.flat(fleet.instances(Selection.all())).stream()
        .filter(one -> one.state().equals("running"))
        .count();
  }

  private static boolean closed(Fleet fleet) {
    try {
      return fleet.clients().get("a1").operation("cut", 0, 0).steps().stream()
          .allMatch(step -> step.outcome() != null);
    } catch (AgentCallException e) {
      throw new AssertionError(e);
    }
  }

  private static boolean free(Fleet fleet) {
    return Fleet.flat(fleet.instances(Selection.all())).stream()
        .allMatch(one -> one.held() == null);
  }

  @Test
  void twoOperatorsRacingNeverHaveTheSameInstanceAtOnce() throws Exception {
    for (String name : List.of("a1", "a2")) {
      AgentRig rig = rig(name);
      for (int i = 0; i < 3; i++) {
        rig.instance(name + "n" + i);
      }
      rig.startAndWait();
    }
    long seed = Long.getLong("seed", 20261203L);
    System.out.println("seed " + seed);
    Random random = new Random(seed);
    int refused = 0;
    int both = 0;
    try (Fleet one = AgentRig.fleet(rigs);
        Fleet two = AgentRig.fleet(rigs)) {
      List<Target> all = Selection.all().of(Fleet.flat(one.instances(Selection.all())));
      for (int round = 0; round < 100; round++) {
        RolloutPlan first = plan(all, random);
        RolloutPlan second = plan(all, random);
        String id = "race" + round;
        var left = run(one, id + "-anna", "anna", first);
        var right = run(two, id + "-berta", "berta", second);
        Report anna = left.get(60, TimeUnit.SECONDS);
        Report berta = right.get(60, TimeUnit.SECONDS);
        for (Report report : List.of(anna, berta)) {
          // One operator has all that was asked for, or nothing of it.
          long turnedAway = report.count(Outcome.REFUSED);
          assertThat(turnedAway).isIn(0L, (long) report.results().size());
          assertThat(report.count(Outcome.SUCCEEDED) + turnedAway)
              .as(report.toString())
              .isEqualTo(report.results().size());
          refused += turnedAway > 0 ? 1 : 0;
        }
        assertThat(anna.count(Outcome.REFUSED) * berta.count(Outcome.REFUSED))
            .as("one of two gets through")
            .isZero();
        both += anna.exitCode() + berta.exitCode() == 0 ? 1 : 0;
      }
      System.out.println(refused + " turned away, both through in " + both + " rounds");
      assertThat(refused).isPositive();
      assertThat(both).isPositive();
      List<Api.StepView> steps = new ArrayList<>();
      for (AgentRig rig : rigs) {
        for (Api.OperationView view : rig.client(one).operations(1000)) {
          steps.addAll(view.steps());
        }
      }
      steps.sort(Comparator.comparing(Api.StepView::instance).thenComparing(Api.StepView::beganMs));
      for (int i = 1; i < steps.size(); i++) {
        if (steps.get(i).instance().equals(steps.get(i - 1).instance())) {
          assertThat(steps.get(i).beganMs()).isGreaterThanOrEqualTo(steps.get(i - 1).endedMs());
        }
      }
      // Each instance saw exactly what was reported done to it.
      for (AgentRig rig : rigs) {
        for (int i = 0; i < 3; i++) {
          String name = rig.name + "n" + i;
          assertThat(hups(rig, name))
              .isEqualTo(steps.stream().filter(step -> step.instance().equals(name)).count());
        }
      }
    }
  }

  private static RolloutPlan plan(List<Target> all, Random random) {
    List<Target> chosen = new ArrayList<>(all);
    java.util.Collections.shuffle(chosen, random);
    int count = 1 + random.nextInt(4);
    return new RolloutPlan(
        Kind.RELOAD, new RolloutOptions(10, 10, 0, 0, 0), chosen.subList(0, count));
  }

  private static CompletableFuture<Report> run(
      Fleet fleet, String operation, String by, RolloutPlan plan) {
    return CompletableFuture.supplyAsync(
        () ->
            new RolloutRunner(fleet, new RolloutRunner.Limits(5000, 30_000), result -> {})
                .run(operation, by, plan, Map.of(), List.of()));
  }

  @Test
  void anAgentThatHangsHoldsNothingElseUpAndIsNotCalledASuccess() throws Exception {
    AgentRig rig = rig("a1").instance("n1").startAndWait();
    try (ServerSocket hung = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      List<Inventory.AgentEntry> entries =
          List.of(
              rig.entry(),
              new Inventory.AgentEntry(
                  "a2", URI.create("http://127.0.0.1:" + hung.getLocalPort()), null, null));
      try (Fleet fleet = new Fleet(new Inventory(entries, 300_000_000L, 600_000_000L))) {
        var answers = fleet.instances(Selection.all());
        assertThat(answers.failures()).containsOnlyKeys("a2");
        Target there = new Target("n9", "a2", "z");
        Target here = new Target("n1", "a1", "zone0");
        Report report =
            new RolloutRunner(fleet, new RolloutRunner.Limits(2000, 10_000), result -> {})
                .run(
                    "hang",
                    "anna",
                    new RolloutPlan(
                        Kind.RELOAD, new RolloutOptions(5, 5, 0, 0, 0), List.of(here, there)),
                    Map.of(),
                    List.of());
        assertThat(AgentRig.outcomes(report))
            .containsEntry("n1", "succeeded: generation 2")
            .hasEntrySatisfying(
                "n9",
                text -> assertThat(text).startsWith("failed: nothing was begun: agent a2 at"));
      }
    }
  }
}
