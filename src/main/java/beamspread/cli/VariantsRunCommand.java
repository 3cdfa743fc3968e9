package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.LeaseKeeper;
import beamspread.fleet.LeaseSettings;
import beamspread.fleet.VariantPublisher;
import beamspread.lease.LeaseHeldException;
import beamspread.lease.LeaseStore;
import beamspread.lease.LeaseStoreException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Owns the table. */
@Command(
    name = "run",
    description =
        "Publishes the table to all agents for as long as it holds the lease variants/FLEET; waits"
            + " while somebody else does. The file is read again when it changes.",
    mixinStandardHelpOptions = true)
final class VariantsRunCommand extends VariantsAction {
  @Parameters(paramLabel = "FILE", description = "rules, and the classes that are the same")
  private Path file;

  @Option(names = "--by", description = "who owns it, for people (default: the user's name)")
  private String by = System.getProperty("user.name");

  @Override
  public Integer call() throws Exception {
    VariantSource source = open(file);
    Inventory agents = Inventory.read(inventory());
    LeaseSettings lease = agents.lease();
    if (lease == null) {
      throw usage(inventory() + " has no [lease]: a table has one owner at a time");
    }
    try (LeaseStore store = LeaseStores.open(lease)) {
      while (!Thread.currentThread().isInterrupted()) {
        own(store, lease, agents, source);
      }
    } catch (LeaseStoreException e) {
      err().println(e.getMessage());
      return UNKNOWN;
    }
    return 0;
  }

  /** Takes the lease and publishes until it is lost. */
  private void own(LeaseStore store, LeaseSettings settings, Inventory agents, VariantSource source)
      throws Exception {
    String name = LeaseSettings.variants(source.file().settings().fleet());
    try (LeaseKeeper lease =
            LeaseKeeper.acquire(
                store,
                name,
                by,
                settings.durationNanos(),
                LeaseKeeper.Otherwise.WAIT,
                held -> say(held.getMessage() + ": waiting"));
        Fleet fleet = new Fleet(agents)) {
      say("owner of " + name + ": " + by + ", token " + lease.token().epoch());
      publish(lease, new VariantPublisher(fleet, lease, source.file()), source);
      say("the lease is lost");
    } catch (LeaseHeldException e) {
      throw new IllegalStateException(e);
    }
  }

  private void publish(LeaseKeeper lease, VariantPublisher publisher, VariantSource source)
      throws InterruptedException, IOException {
    String told = "";
    while (lease.held()) {
      long from = System.nanoTime();
      VariantPublisher.Round round = publisher.round();
      String what =
          "table "
              + round.table().version()
              + ", taken by "
              + round.taken()
              + " "
              + round.failures();
      if (!what.equals(told)) {
        told = what;
        say(what);
      }
      long rest = source.file().settings().pullIntervalNanos() - (System.nanoTime() - from);
      TimeUnit.NANOSECONDS.sleep(Math.max(0, rest));
      if (source.reread(this::say)) {
        publisher.use(source.file());
      }
    }
  }

  private void say(String line) {
    err().println(line);
    err().flush();
  }
}
