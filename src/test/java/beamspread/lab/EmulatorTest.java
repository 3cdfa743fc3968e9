package beamspread.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.fleet.config.TomlFaults;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EmulatorTest {
  /** 14 nodes before 60 servers, with an origin that fits them. */
  private static final String LARGE_TIER =
      """
      [fleet]
      nodes = 14
      zones = 2
      [[box]]
      kind = "box"
      count = 60
      cores = 2
      connections = 20
      [origin]
      cores = 24
      [load]
      rate = 900
      keys = 5000
      work_s = 0.07
      aim_s = 0.75
      deadline_s = 2.0
      """;

  @TempDir private Path folder;

  private Experiment experiment(String toml) throws Exception {
    Path file = folder.resolve("lab.toml");
    Files.writeString(file, toml);
    return Experiment.read(file);
  }

  private Fleet fleet(String toml) throws Exception {
    return experiment(toml).fleet(Experiment.BASE);
  }

  private static Result run(Fleet fleet, long seed) {
    return Emulator.run(fleet, seed, 5, 10);
  }

  @Test
  void theSameSeedGivesTheSameFiguresAndAnotherOneOthers() throws Exception {
    Fleet fleet = fleet("");
    assertThat(run(fleet, 1)).isEqualTo(run(fleet, 1)).isNotEqualTo(run(fleet, 2));
  }

  @Test
  void aCalmFleetServesNearlyAllAndBreaksNoRule() throws Exception {
    Result result = run(fleet(""), 3);
    assertThat(result.offered()).isBetween(4600L, 5400L);
    assertThat(result.onTime() + result.late() + result.refused() + result.failed())
        .isEqualTo(result.offered());
    assertThat(result.worth()).isGreaterThan(0.95);
    assertThat(result.kept()).isTrue();
    assertThat(result.attempts()).isBetween(0.99, 1.2);
    assertThat(result.fetches()).isPositive();
  }

  @Test
  void aBoxThatRestartsCostsResetsButNoRequestIsLostAndNoneRunsTwice() throws Exception {
    Fleet calm = fleet("[fleet]\nnodes = 3\n");
    Fleet broken =
        fleet(
            """
            [fleet]
            nodes = 3
            [[fault]]
            kind = "box-restarts"
            at_s = 7
            lasts_s = 3
            box = 2
            """);
    for (long seed = 1; seed <= 3; seed++) {
      Result before = run(calm, seed);
      Result after = run(broken, seed);
      assertThat(after.kept()).as("seed " + seed).isTrue();
      assertThat(after.offered()).as("the same clients").isEqualTo(before.offered());
      assertThat(after.turnedDown()).isPositive();
      assertThat(after.fetches()).as("its cache is empty").isGreaterThan(before.fetches());
      assertThat(after.worth()).isBetween(0.5, before.worth());
    }
  }

  @Test
  void aNodeThatDiesTakesOnlyWhatItHadWithItAndComesBack() throws Exception {
    Fleet dies =
        fleet(
            """
            [fleet]
            nodes = 3
            [[fault]]
            kind = "node-dies"
            at_s = 7
            lasts_s = 3
            node = 1
            """);
    Fleet calm = fleet("[fleet]\nnodes = 3\n");
    for (long seed = 1; seed <= 3; seed++) {
      Result before = run(calm, seed);
      Result after = run(dies, seed);
      assertThat(after.kept()).as("seed " + seed).isTrue();
      assertThat(after.offered()).isEqualTo(before.offered());
      assertThat(after.failed()).as("writes on their way then").isBetween(0L, 40L);
      assertThat(after.p99()).as("clients try again elsewhere").isGreaterThan(before.p99());
      assertThat(after.worth()).isBetween(0.7, before.worth());
      assertThat(after).as("the same again").isEqualTo(run(dies, seed));
    }
  }

  @Test
  void aSlowDatabaseAndASlowBoxAreFelt() throws Exception {
    Result calm = run(fleet(""), 4);
    Result origin =
        run(fleet("[[fault]]\nkind = \"origin-slow\"\nat_s = 6\nlasts_s = 5\npart = 0.05\n"), 4);
    Result box =
        run(fleet("[[fault]]\nkind = \"box-slow\"\nat_s = 6\nlasts_s = 5\npart = 0.05\n"), 4);
    assertThat(origin.worth()).isLessThan(calm.worth());
    assertThat(box.p99()).isGreaterThan(calm.p99());
  }

  @Test
  void boxesThatTakeFewConnectionsTurnDownWhatIsBeyond() throws Exception {
    Result few =
        run(
            fleet(
                "[fleet]\nnodes = 8\n[load]\nrate = 1500\n[[box]]\nkind = \"small\"\nconnections = 6\n"),
            5);
    assertThat(few.turnedDown()).isPositive();
    assertThat(few.kept()).isTrue();
  }

  @Test
  void variantsShareTheirSeedsAndEqualOnesShowNoDifference() throws Exception {
    Experiment experiment =
        experiment(
            """
            [[variant]]
            name = "same"
            [[variant]]
            name = "one connection"
            [variant.pool]
            connections = 1
            [variant.load]
            rate = 900
            """);
    Findings findings = new Lab(experiment, 4, 100, 3, 5, Runs.NONE).run(2, (done, all) -> {});
    List<Findings.Line> lines = findings.compared();
    assertThat(lines)
        .filteredOn(one -> one.variant().equals("same"))
        .isNotEmpty()
        .allMatch(one -> one.difference() == 0 && !one.shown());
    assertThat(lines)
        .filteredOn(one -> one.variant().equals("one connection"))
        .anyMatch(one -> one.figure().equals("p99_ms") && one.shown() && one.difference() > 0);
    assertThat(findings.violations()).isEmpty();
  }

  @Test
  void eachFaultOfAFileIsNamedWithItsLine() {
    assertThatThrownBy(
            () ->
                experiment(
                    """
                    [fleet]
                    nodes = 0
                    [load]
                    rate = "much"
                    skrew = 1
                    distribution = "uniform"
                    [[fault]]
                    kind = "flood"
                    [[variant]]
                    name = "base"
                    """))
        .isInstanceOf(TomlFaults.class)
        .hasMessageContaining("lab.toml:2: fleet.nodes: must be 1 to 4096")
        .hasMessageContaining("lab.toml:4: load.rate")
        .hasMessageContaining("lab.toml:5: load.skrew: unknown key")
        .hasMessageContaining("lab.toml:6: load.distribution")
        .hasMessageContaining("lab.toml:8: fault[1].kind")
        .hasMessageContaining("lab.toml:10: variant[1].name");
    assertThatThrownBy(() -> experiment("[[fault]]\nkind = \"box-slow\"\nbox = 6\n"))
        .isInstanceOf(TomlFaults.class)
        .hasMessageContaining("there is no box 6");
    assertThatThrownBy(() -> experiment("[[fault]]\nkind = \"node-dies\"\nnode = 2\n"))
        .isInstanceOf(TomlFaults.class)
        .hasMessageContaining("there is no node 2");
  }

  private static double mean(Fleet fleet, java.util.function.ToDoubleFunction<Result> figure) {
    return java.util.stream.LongStream.range(1, 5)
        .mapToObj(seed -> run(fleet, seed))
        .mapToDouble(figure)
        .average()
        .orElseThrow();
  }

  @Test
  void policiesRankAsThePaperAndTheoryHaveIt() throws Exception {
    // Many keys beside what a box holds, some of them hot, and boxes at two thirds of what they can
    // do.
    String load =
        """
        policy = "%s"
        [[box]]
        kind = "box"
        count = 12
        cores = 2
        keys = 2500
        queue = 400
        connections = 60
        [load]
        rate = 4000
        skew = 1.1
        writes = 0
        [origin]
        cores = 24
        work_s = 0.02
        """;
    Fleet own = fleet("[fleet]\n" + load.formatted("own"));
    Fleet random = fleet("[fleet]\n" + load.formatted("random"));
    Fleet ring = fleet("[fleet]\n" + load.formatted("ring"));
    Fleet bounded = fleet("[fleet]\n" + load.formatted("bounded-ring"));
    // Whoever ignores the key has every box hold the same keys, and asks the database for the rest.
    assertThat(mean(random, Result::fetches))
        .isGreaterThan(1.5 * mean(own, Result::fetches))
        .isGreaterThan(1.5 * mean(bounded, Result::fetches));
    // Whoever ignores the load has the box of the hottest key drown.
    assertThat(mean(ring, Result::worth)).isLessThan(mean(bounded, Result::worth) - 0.02);
    assertThat(mean(own, Result::worth))
        .isGreaterThan(mean(ring, Result::worth) + 0.02)
        .isGreaterThan(mean(random, Result::worth) + 0.02);
  }

  private static final String COLD =
      """
      [fleet]
      nodes = 6
      policy = "%s"
      [[box]]
      kind = "box"
      count = 4
      cores = 2
      [load]
      rate = 1000
      keys = 2000
      [[fault]]
      kind = "%s"
      box = 1
      at_s = 6
      lasts_s = 2
      """;

  @Test
  void aColdBoxIsPushedOverByWhoIgnoresThatItIsCold() throws Exception {
    Result ring = Emulator.run(fleet(COLD.formatted("ring", "box-restarts")), 4, 5, 15);
    assertThat(ring.fallen()).isPositive();
    assertThat(ring.kept()).isFalse();
    assertThat(ring.stories().get(0))
        .matches(
            "cold box pushed over: box 1 at [0-9.]+ s: [0-9]+ requests and handshakes, [0-9.]+ s of"
                + " work, from 6 nodes within 2.0 s, where it could do [0-9.]+ s");
    Result own = Emulator.run(fleet(COLD.formatted("own", "box-restarts")), 4, 5, 15);
    assertThat(own.fallen()).as(own.stories().toString()).isZero();
    assertThat(own.kept()).isTrue();
  }

  @Test
  void aBoxThatDrainsGetsNothingNewAndComesBack() throws Exception {
    for (String policy : new String[] {"own", "ring"}) {
      Fleet fleet =
          fleet(COLD.formatted(policy, "box-drains").replace("lasts_s = 2", "lasts_s = 5"));
      Result result = Emulator.run(fleet, 4, 5, 15);
      assertThat(result.drains()).as(result.stories().toString()).isZero();
      // Half-way of its drain nothing is at it; at the end of the run something is again.
      assertThat(result.course().boxes().get(1).get(9)).isZero();
      assertThat(result.course().boxes().get(1).subList(12, 20).stream().mapToDouble(d -> d).sum())
          .isPositive();
    }
  }

  private static String fault(String kind, String whom, int number, double at) {
    return "[[fault]]\nkind = \"%s\"\nat_s = %s\nlasts_s = 2\n%s = %d\n"
        .formatted(kind, at, whom, number);
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void aHerdAndARollOfServersBreakNoRuleAndLeaveMostServed(long seed) throws Exception {
    StringBuilder troubled = new StringBuilder(LARGE_TIER);
    for (int node = 0; node < 10; node++) {
      troubled.append(fault("node-dies", "node", node, 7));
    }
    for (int box = 0; box < 18; box++) {
      troubled.append(fault("box-restarts", "box", box, 6 + 0.2 * box));
    }
    Result calm = run(fleet(LARGE_TIER), seed);
    Result result = run(fleet(troubled.toString()), seed);
    assertThat(calm.kept()).as("seed " + seed).isTrue();
    assertThat(calm.worth()).as("seed " + seed).isGreaterThan(0.9);
    assertThat(result.kept()).as("seed " + seed).isTrue();
    assertThat(result.onTime() + result.late() + result.refused() + result.failed())
        .isEqualTo(result.offered());
    assertThat(result.offered()).as("the same clients").isEqualTo(calm.offered());
    assertThat(result.worth()).as("seed " + seed).isBetween(0.5, calm.worth());
  }

  /** 50 nodes before boxes that take 20 connections each: most of a pair's are hardly used. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void whereNodesOutnumberTheConnectionsOfABoxTheseGoRound(long seed) throws Exception {
    Fleet fleet = fleet(LARGE_TIER.replace("nodes = 14", "nodes = 50"));
    Result result = Emulator.run(fleet, seed, 10, 20);
    assertThat(result.kept()).as("seed " + seed).isTrue();
    // A third of both where those who came first keep what they hardly use.
    assertThat((double) result.turnedDown() / result.offered()).as("seed " + seed).isLessThan(0.26);
    assertThat((double) result.fetches() / result.offered()).as("seed " + seed).isLessThan(0.28);
  }
}
