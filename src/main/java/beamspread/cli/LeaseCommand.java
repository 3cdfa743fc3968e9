package beamspread.cli;

import beamspread.fleet.Inventory;
import beamspread.fleet.LeaseSettings;
import beamspread.fleet.api.Json;
import beamspread.lease.FencingToken;
import beamspread.lease.Lease;
import beamspread.lease.LeaseStore;
import beamspread.lease.LeaseStoreException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The leases that work on a fleet runs under. */
@Command(
    name = "lease",
    description = "Shows who owns work on the fleet, and gives or takes it by hand.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      LeaseCommand.ListLeases.class,
      LeaseCommand.Show.class,
      LeaseCommand.Release.class,
      LeaseCommand.Raise.class
    },
    footer = {
      "",
      "Exit codes: 0 done, 1 no such lease or it has passed on, 2 wrong usage or inventory,",
      "3 the store cannot be used.",
      "",
      "Examples:",
      "  ./beamspread lease list",
      "  ./beamspread lease release rollout/main --token 7 --yes"
    })
final class LeaseCommand implements Runnable {
  @Option(
      names = {"-i", "--inventory"},
      paramLabel = "FILE",
      scope = CommandLine.ScopeType.INHERIT,
      defaultValue = "${env:BEAMSPREAD_INVENTORY:-deploy/fleet.toml}",
      description = "the agents (default: $BEAMSPREAD_INVENTORY or deploy/fleet.toml)")
  private Path inventory;

  @Option(
      names = {"-o", "--output"},
      paramLabel = "FORM",
      scope = CommandLine.ScopeType.INHERIT,
      defaultValue = "table",
      description = "table or json (default: table)")
  private FleetCommand.Output output;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
  }

  /** A subcommand that talks to the store of the inventory. */
  abstract static class LeaseAction implements Callable<Integer> {
    @CommandLine.ParentCommand private LeaseCommand parent;
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /** Does it; returns the exit code. */
    abstract int run(LeaseStore store) throws LeaseStoreException;

    @Override
    public final Integer call() throws Exception {
      LeaseSettings settings = Inventory.read(parent.inventory).lease();
      if (settings == null) {
        throw usage(parent.inventory + " has no [lease]");
      }
      try (LeaseStore store = LeaseStores.open(settings)) {
        return run(store);
      } catch (LeaseStoreException e) {
        err().println(e.getMessage());
        return FleetAction.UNKNOWN;
      } finally {
        out().flush();
        err().flush();
      }
    }

    final PrintWriter out() {
      return spec.commandLine().getOut();
    }

    final PrintWriter err() {
      return spec.commandLine().getErr();
    }

    final CommandLine.ParameterException usage(String message) {
      return new CommandLine.ParameterException(spec.commandLine(), message);
    }

    final void print(List<Lease> leases) {
      if (parent.output == FleetCommand.Output.json) {
        out().println(Json.text(leases));
        return;
      }
      Table table = new Table("LEASE", "TOKEN", "OWNER", "SINCE", "LEFT");
      for (Lease lease : leases) {
        table.row(
            lease.name(),
            Long.toString(lease.epoch()),
            lease.held() ? lease.described() : "-",
            lease.held() ? FleetAction.time(lease.acquiredMillis()) : "-",
            lease.held() ? (lease.expiresMillis() - lease.nowMillis()) / 1000 + " s" : "-");
      }
      table.print(out());
    }

    /** The lease of this name; null if there is none, which is said. */
    final Lease find(LeaseStore store, String name) throws LeaseStoreException {
      if (!FencingToken.isName(name)) {
        throw usage("'" + name + "' is no name of a lease");
      }
      Lease lease = store.find(name).orElse(null);
      if (lease == null) {
        err().println("there is no lease '" + name + "'");
      }
      return lease;
    }
  }

  /** All leases. */
  @Command(
      name = "list",
      description = "Shows all leases: owner, token, and for how long without renewal.",
      mixinStandardHelpOptions = true)
  static final class ListLeases extends LeaseAction {
    @Override
    int run(LeaseStore store) throws LeaseStoreException {
      print(store.all());
      return 0;
    }
  }

  /** One lease. */
  @Command(name = "show", description = "Shows one lease.", mixinStandardHelpOptions = true)
  static final class Show extends LeaseAction {
    @Parameters(paramLabel = "NAME", description = "such as rollout/main")
    private String name;

    @Override
    int run(LeaseStore store) throws LeaseStoreException {
      Lease lease = find(store, name);
      if (lease != null) {
        print(List.of(lease));
      }
      return lease == null ? 1 : 0;
    }
  }

  /** Gives a lease back in its owner's place. */
  @Command(
      name = "release",
      description =
          "Gives a lease back for an owner that is gone. Its token is never given again; an owner"
              + " that still runs stops at its next renewal.",
      mixinStandardHelpOptions = true)
  static final class Release extends LeaseAction {
    @Parameters(paramLabel = "NAME", description = "such as rollout/main")
    private String name;

    @Option(
        names = "--token",
        required = true,
        paramLabel = "N",
        description = "the owner's token, as 'lease list' shows it")
    private long token;

    @Option(names = "--yes", description = "do it; without this it is only shown")
    private boolean yes;

    @Override
    int run(LeaseStore store) throws LeaseStoreException {
      if (token < 1) {
        throw usage("--token must be 1 or more, is " + token);
      }
      Lease lease = find(store, name);
      if (lease == null) {
        return 1;
      }
      if (!yes) {
        print(List.of(lease));
        throw usage("add --yes to release it");
      }
      if (!store.release(new FencingToken(name, token))) {
        err().println("not released: nobody holds " + name + " with token " + token);
        return 1;
      }
      print(List.of(store.find(name).orElse(lease)));
      return 0;
    }
  }

  /** Raises a lease's token. */
  @Command(
      name = "raise",
      description =
          "Sets a lease's token to this one at least and takes it from its owner: after a store was"
              + " put back to an older state, so that agents take new owners again.",
      mixinStandardHelpOptions = true)
  static final class Raise extends LeaseAction {
    @Parameters(paramLabel = "NAME", description = "such as rollout/main")
    private String name;

    @Option(
        names = "--token",
        required = true,
        paramLabel = "N",
        description = "the highest token that an agent says it has seen")
    private long token;

    @Option(names = "--yes", description = "do it")
    private boolean yes;

    @Override
    int run(LeaseStore store) throws LeaseStoreException {
      if (token < 1 || !FencingToken.isName(name)) {
        throw usage("a lease's name and a token of 1 or more are needed");
      }
      if (!yes) {
        throw usage("add --yes to raise it");
      }
      print(List.of(store.raise(name, token)));
      return 0;
    }
  }
}
