package beamspread.cli;

import beamspread.chaos.members.HeartbeatMember;
import beamspread.chaos.members.Member;
import beamspread.chaos.members.MembershipTrial;
import beamspread.chaos.members.SwimMember;
import beamspread.chaos.members.TierMember;
import beamspread.tier.TierSettings;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Membership against plain heartbeats and plain SWIM, on virtual time. */
@Command(
    name = "tier",
    description =
        "Counts live members called gone and times deaths on virtual time, with the node's"
            + " membership, plain heartbeats to all and plain SWIM under the same faults"
            + " (docs/measurements/tier.md). Exit code 0 if the aims are met.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread measure tier --minutes 3",
      "  ./beamspread measure tier --aim --minutes 80 --seeds 8"
    })
final class MeasureTier implements Callable<Integer> {
  private static final double MOST_FALSE = 1.0 / 1000;
  private static final double MOST_SECONDS = 3;
  private static final int MOST_BYTES = 2000;

  private static final MembershipTrial.Conditions AIM = new MembershipTrial.Conditions(0.1, 1, 0);

  private static final List<MembershipTrial.Conditions> ALL =
      List.of(
          new MembershipTrial.Conditions(0, 0, 0),
          new MembershipTrial.Conditions(0.05, 0, 0),
          new MembershipTrial.Conditions(0.1, 0, 0),
          new MembershipTrial.Conditions(0.2, 0, 0),
          new MembershipTrial.Conditions(0.4, 0, 0),
          new MembershipTrial.Conditions(0, 0.1, 0),
          new MembershipTrial.Conditions(0, 1, 0),
          new MembershipTrial.Conditions(0, 3, 0),
          new MembershipTrial.Conditions(0, 10, 0),
          new MembershipTrial.Conditions(0, 0, 5),
          AIM);

  @Option(names = "--members", defaultValue = "100", description = "3 to 4096 (default: 100)")
  private int members;

  @Option(
      names = "--minutes",
      defaultValue = "20",
      description = "virtual minutes of each play, a death in each (default: 20)")
  private int minutes;

  @Option(names = "--seeds", defaultValue = "8", description = "plays of each (default: 8)")
  private int seeds;

  @Option(names = "--first-seed", defaultValue = "1", description = "the first (default: 1)")
  private long firstSeed;

  @Option(
      names = "--aim",
      description =
          "only the conditions of the aims (loss 0.1, pauses up to 1 s), without baselines")
  private boolean aim;

  @Option(
      names = "--bytes",
      defaultValue = "2000",
      description = "what a member may send a second, 500 to 100000 (default: 2000)")
  private int bytes;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    Bounds.check(spec.commandLine(), "--members", members, 3, 4096);
    Bounds.check(spec.commandLine(), "--minutes", minutes, 1, 10_000);
    Bounds.check(spec.commandLine(), "--seeds", seeds, 1, 1000);
    Bounds.check(spec.commandLine(), "--bytes", bytes, 500, 100_000);
    boolean good = true;
    say("%d members, seeds %d to %d", members, firstSeed, firstSeed + seeds - 1);
    say(
        "%5s %6s %5s  %-10s %9s %9s %7s %7s %7s %8s",
        "loss", "pause", "cuts", "way", "node-h", "false", "p50 s", "p99 s", "missed", "B/s");
    for (MembershipTrial.Conditions conditions : aim ? List.of(AIM) : ALL) {
      for (String way : aim ? List.of("tier") : List.of("tier", "heartbeats", "swim")) {
        MembershipTrial.Outcome outcome =
            IntStream.range(0, seeds)
                .parallel()
                .mapToObj(i -> play(way, firstSeed + i, conditions))
                .reduce(MembershipTrial.Outcome::and)
                .orElseThrow();
        say(
            "%5.2f %6.1f %5d  %-10s %9.1f %9d %7.2f %7.2f %7d %8.0f",
            conditions.loss(),
            conditions.pauseSeconds(),
            conditions.oneWayCuts(),
            way,
            outcome.nodeHours(),
            outcome.falselyGone(),
            outcome.percentile(0.5),
            outcome.percentile(0.99),
            outcome.missed(),
            outcome.bytesPerSecond());
        if (way.equals("tier") && conditions.equals(AIM)) {
          good = meets(outcome);
        }
      }
    }
    return good ? 0 : 1;
  }

  private boolean meets(MembershipTrial.Outcome outcome) {
    Map<String, Boolean> aims = new LinkedHashMap<>();
    aims.put(
        "at most one live member called gone in 1,000 node-hours",
        outcome.falselyGone() <= Math.max(0, outcome.nodeHours() * MOST_FALSE));
    aims.put(
        "99 % of deaths known everywhere within 3 s",
        outcome.missed() == 0 && outcome.percentile(0.99) <= MOST_SECONDS);
    aims.put(
        "at most " + Math.max(MOST_BYTES, bytes) + " bytes a second",
        outcome.bytesPerSecond() <= Math.max(MOST_BYTES, bytes));
    aims.forEach((aim, met) -> say("%s: %s", met ? "met" : "not met", aim));
    return !aims.containsValue(false);
  }

  private MembershipTrial.Outcome play(
      String way, long seed, MembershipTrial.Conditions conditions) {
    Member.Maker maker =
        switch (way) {
          case "tier" -> TierMember.maker(settings(), members, seed, start -> 0);
          case "heartbeats" -> HeartbeatMember.maker(members, 250_000_000, 1_600_000_000);
          default -> SwimMember.maker(members, seed);
        };
    return MembershipTrial.play(members, seed, minutes, conditions, maker);
  }

  private TierSettings settings() {
    TierSettings usual = TierSettings.defaults("trial");
    return new TierSettings(
        usual.name(),
        usual.intervalNanos(),
        usual.silenceNanos(),
        usual.lateNanos(),
        usual.doubtNanos(),
        usual.rememberNanos(),
        bytes,
        usual.burstBytes());
  }

  private void say(String format, Object... words) {
    spec.commandLine().getOut().printf(format + "%n", words);
    spec.commandLine().getOut().flush();
  }
}
