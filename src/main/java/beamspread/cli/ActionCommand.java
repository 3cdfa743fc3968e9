package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Report;
import beamspread.fleet.Rollout;
import beamspread.fleet.RolloutPlan;
import beamspread.fleet.RolloutRunner;
import beamspread.fleet.Selection;
import beamspread.fleet.Target;
import beamspread.fleet.Unreachable;
import beamspread.fleet.api.Kind;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.security.SecureRandom;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Something done to the chosen instances, batch by batch. */
abstract class ActionCommand extends FleetAction {
  private static final SecureRandom RANDOM = new SecureRandom();

  /** Said where agents are away and nobody has allowed to go on without them. */
  static final String LEFT_ALONE =
      "nothing was begun, since nobody knows what these agents run: --allow-unreachable goes on"
          + " without them, AGENT/NAME or --agent names instances of others";

  private final Kind kind;

  @Mixin private SelectOptions select;
  @Mixin private RunOptions run;
  @Mixin private AwayOptions away;
  @Mixin private LeaseOptions lease;

  @Option(names = "--dry-run", description = "print the batches and begin nothing")
  private boolean dryRun;

  @Option(names = "--by", paramLabel = "NAME", description = "who asks (default: USER@HOST)")
  private String by;

  ActionCommand(Kind kind) {
    this.kind = kind;
  }

  /** Starts instances. */
  @Command(
      name = "start",
      description = "Starts the chosen instances and waits until they are ready.",
      mixinStandardHelpOptions = true,
      footer = {"", "Example: ./beamspread fleet start n1 n2"})
  static final class Start extends ActionCommand {
    Start() {
      super(Kind.START);
    }
  }

  /** Stops instances. */
  @Command(
      name = "stop",
      description = "Stops the chosen instances: SIGTERM, and SIGKILL if that is not enough.",
      mixinStandardHelpOptions = true,
      footer = {"", "Example: ./beamspread fleet stop --zone debrecen --max-unavailable 1"})
  static final class Stop extends ActionCommand {
    Stop() {
      super(Kind.STOP);
    }
  }

  /** Restarts instances. */
  @Command(
      name = "restart",
      description = "Stops the chosen instances and starts them again.",
      mixinStandardHelpOptions = true,
      footer = {"", "Example: ./beamspread fleet restart --all --max-per-zone 1 --pause 2"})
  static final class Restart extends ActionCommand {
    Restart() {
      super(Kind.RESTART);
    }
  }

  /** Reloads instances. */
  @Command(
      name = "reload",
      description =
          "Has the chosen instances read their configuration again; one counts as"
              + " reloaded when the node itself says that it took the file.",
      mixinStandardHelpOptions = true,
      footer = {"", "Example: ./beamspread fleet reload --all --dry-run"})
  static final class Reload extends ActionCommand {
    Reload() {
      super(Kind.RELOAD);
    }
  }

  @Override
  final int run(Fleet fleet) throws Exception {
    if (select.empty()) {
      throw usage("name instances, or say --all, --zone or --agent");
    }
    lease.check(this, fleet);
    Selection selection = select.selection();
    var answers = fleet.instances(selection);
    List<Unreachable> unreachable = answers.unreachable();
    for (Unreachable one : unreachable) {
      err().println(one.reason() + "; its instances are left out");
    }
    if (!unreachable.isEmpty() && !away.allow && !dryRun) {
      err().println(LEFT_ALONE);
      return tell(this, new Report(null, kind, by(by), 0, 0, List.of(), unreachable));
    }
    List<Target> targets = chosen(selection, answers);
    RolloutPlan plan = new RolloutPlan(kind, run.options(kind, targets.size(), this), targets);
    if (dryRun) {
      dryRun(plan);
      return unreachable.isEmpty() ? 0 : UNKNOWN;
    }
    return lease.under(
        this,
        fleet,
        by(by),
        away,
        held -> {
          var progress = ReportPrinter.progress(err(), targets.size());
          Report report =
              new RolloutRunner(fleet, RolloutRunner.Limits.usual(), progress, held)
                  .run(id(kind), by(by), plan, Map.of(), List.of());
          return tell(this, report.without(unreachable));
        });
  }

  /** Prints a report; the exit code. */
  static int tell(FleetAction action, Report report) {
    if (action.json()) {
      action.print(report);
    } else if (report.operation() != null) {
      ReportPrinter.table(report, action.out());
    }
    return report.exitCode();
  }

  private void dryRun(RolloutPlan plan) {
    List<List<Target>> batches = Rollout.batches(plan);
    if (json()) {
      print(batches);
      return;
    }
    for (int i = 0; i < batches.size(); i++) {
      out()
          .println(
              "batch "
                  + (i + 1)
                  + ": "
                  + String.join(" ", batches.get(i).stream().map(Target::path).toList()));
    }
    out()
        .println(
            kind.word()
                + " of "
                + plan.targets().size()
                + " in "
                + batches.size()
                + (batches.size() == 1 ? " batch" : " batches")
                + "; nothing was begun");
  }

  /** An id that people can tell from others. */
  static String id(Kind kind) {
    return kind.word()
        + "-"
        + LocalDateTime.now(ZoneOffset.UTC).format(DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss"))
        + "-"
        + String.format("%06x", RANDOM.nextInt(1 << 24));
  }

  static String by(String named) {
    if (named != null && !named.isBlank()) {
      return named;
    }
    String host;
    try {
      host = InetAddress.getLocalHost().getHostName();
    } catch (UnknownHostException e) {
      host = "unknown";
    }
    return System.getProperty("user.name") + "@" + host;
  }
}
