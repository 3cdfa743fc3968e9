package beamspread.cli;

import beamspread.fleet.Inventory;
import beamspread.fleet.LeaseSettings;
import beamspread.lease.FencingToken;
import beamspread.lease.Lease;
import beamspread.lease.LeaseStore;
import beamspread.lease.LeaseStoreException;
import java.util.List;
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
final class LeaseCommand extends InventoryCommand {

  /** A subcommand that talks to the store of the inventory. */
  abstract static class LeaseAction extends InventoryAction {
    /** Does it; returns the exit code. */
    abstract int run(LeaseStore store) throws LeaseStoreException;

    @Override
    public final Integer call() throws Exception {
      LeaseSettings settings = Inventory.read(inventory()).lease();
      if (settings == null) {
        throw usage(inventory() + " has no [lease]");
      }
      try (LeaseStore store = LeaseStores.open(settings)) {
        return run(store);
      } catch (LeaseStoreException e) {
        err().println(e.getMessage());
        return UNKNOWN;
      } finally {
        out().flush();
        err().flush();
      }
    }

    final void show(List<Lease> leases) {
      if (json()) {
        print(leases);
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
      show(store.all());
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
        show(List.of(lease));
      }
      return lease == null ? 1 : 0;
    }
  }

  /** Changes a lease by hand, once it is meant. */
  abstract static class LeaseChange extends LeaseAction {
    @Parameters(paramLabel = "NAME", description = "such as rollout/main")
    private String name;

    @Option(
        names = "--token",
        required = true,
        paramLabel = "N",
        description = "the owner's token, or the highest that an agent says it has seen")
    private long token;

    @Option(names = "--yes", description = "do it; without this nothing is changed")
    private boolean yes;

    final String name() {
      return name;
    }

    final long token() {
      return token;
    }

    final boolean isMeant() {
      return yes;
    }

    /** Refuses a name or a token that can't be one. */
    final void checkLease() {
      if (token < 1) {
        throw usage("--token must be 1 or more, is " + token);
      }
      if (!FencingToken.isName(name)) {
        throw usage("'" + name + "' is no name of a lease");
      }
    }

    /** Refuses a change that is not meant yet. */
    final void checkMeant(String what) {
      if (!yes) {
        throw usage("add --yes to " + what + " it");
      }
    }
  }

  /** Gives a lease back in its owner's place. */
  @Command(
      name = "release",
      description =
          "Gives a lease back for an owner that is gone. Its token is never given again; an owner"
              + " that still runs stops at its next renewal.",
      mixinStandardHelpOptions = true)
  static final class Release extends LeaseChange {
    @Override
    int run(LeaseStore store) throws LeaseStoreException {
      checkLease();
      Lease lease = find(store, name());
      if (lease == null) {
        return 1;
      }
      if (!isMeant()) {
        show(List.of(lease));
      }
      checkMeant("release");
      if (!store.release(new FencingToken(name(), token()), lease.holder())) {
        err().println("not released: nobody holds " + name() + " with token " + token());
        return 1;
      }
      show(List.of(store.find(name()).orElse(lease)));
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
  static final class Raise extends LeaseChange {
    @Override
    int run(LeaseStore store) throws LeaseStoreException {
      checkLease();
      checkMeant("raise");
      show(List.of(store.raise(name(), token())));
      return 0;
    }
  }
}
