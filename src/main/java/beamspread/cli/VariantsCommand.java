package beamspread.cli;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.AgentClient;
import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.LeaseKeeper;
import beamspread.fleet.LeaseSettings;
import beamspread.fleet.Selection;
import beamspread.fleet.VariantPublisher;
import beamspread.fleet.api.Api;
import beamspread.lease.LeaseHeldException;
import beamspread.lease.LeaseStore;
import beamspread.lease.LeaseStoreException;
import beamspread.sim.WireException;
import beamspread.variants.HeldTable;
import beamspread.variants.VariantException;
import beamspread.variants.VariantFile;
import beamspread.variants.VariantKeys;
import beamspread.variants.VariantTable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Variant keys of a fleet: the table's owner, and what nodes make of it. */
@Command(
    name = "variants",
    description = "One stored copy for device classes whose responses are the same.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      VariantsCommand.RunOwner.class,
      VariantsCommand.Status.class,
      VariantsCommand.Explain.class,
      VariantsCommand.Split.class,
      VariantsCommand.Allow.class,
      VariantsCommand.Check.class
    },
    footer = {
      "",
      "Exit codes: 0 done, 1 agents differ, or a key stays as it is, 2 wrong usage or file, 3 of some",
      "agents nobody knows, or the store of leases cannot be used.",
      "",
      "Examples:",
      "  ./beamspread variants check deploy/variants.json",
      "  ./beamspread variants run deploy/variants.json",
      "  ./beamspread variants split page/",
      "  ./beamspread variants explain page/phone/17 --class read --file deploy/variants.json"
    })
final class VariantsCommand extends InventoryCommand {

  /** A subcommand. */
  abstract static class VariantsAction extends InventoryAction {
    /** Opens the operators' file; ends with what is wrong with it. */
    final VariantSource open(Path file) {
      try {
        return new VariantSource(file);
      } catch (IOException e) {
        throw usage(file + " cannot be read");
      } catch (WireException e) {
        throw usage(file + ": " + e.getMessage());
      }
    }
  }

  /** Owns the table. */
  @Command(
      name = "run",
      description =
          "Publishes the table to all agents for as long as it holds the lease variants/FLEET; waits"
              + " while somebody else does. The file is read again when it changes.",
      mixinStandardHelpOptions = true)
  static final class RunOwner extends VariantsAction {
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
    private void own(
        LeaseStore store, LeaseSettings settings, Inventory agents, VariantSource source)
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
        long rest = source.file().settings().pullNanos() - (System.nanoTime() - from);
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

  /** What agents and nodes hold. */
  @Command(
      name = "status",
      description = "Shows the table at each agent, and which version each node holds.",
      mixinStandardHelpOptions = true)
  static final class Status extends VariantsAction {
    @Option(names = "--fleet", defaultValue = "main", description = "(default: main)")
    private String fleet;

    @Override
    public Integer call() throws Exception {
      try (Fleet agents = new Fleet(Inventory.read(inventory()))) {
        Fleet.Answers<Api.VariantView> views =
            agents.ask(Selection.all(), client -> client.variants(fleet));
        List<Api.VariantView> all = new ArrayList<>(views.answers().values());
        if (json()) {
          print(all);
        } else {
          table(all);
        }
        views.failures().values().forEach(failure -> err().println(failure.getMessage()));
        out().flush();
        err().flush();
        if (!views.failures().isEmpty()) {
          return UNKNOWN;
        }
        return all.stream().map(Api.VariantView::version).distinct().count() > 1 ? 1 : 0;
      }
    }

    private void table(List<Api.VariantView> all) {
      Table table = new Table("AGENT", "TABLE", "HOLDS", "FAMILIES", "SPLIT", "KEPT", "NODES");
      for (Api.VariantView view : all) {
        table.row(
            view.agent(),
            view.version(),
            view.holdsMs() / 1000.0 + " s",
            families(view).size(),
            view.split(),
            view.kept(),
            view.nodes().stream().map(node -> node.node() + " " + node.version()).toList());
      }
      table.print(out());
      if (!all.isEmpty()) {
        Table rows = new Table("FAMILY", "THE SAME");
        families(all.get(0)).forEach(rows::row);
        rows.print(out());
      }
    }

    /** What an agent's table says of each family. */
    static Map<String, Object> families(Api.VariantView view) {
      Map<String, Object> families = new LinkedHashMap<>();
      if (view.text() != null) {
        try {
          families.putAll(VariantTable.parse(view.text(), view.digest()).rows());
        } catch (VariantException e) {
          families.put("damaged", e.getMessage());
        }
      }
      return families;
    }
  }

  /** What becomes of a key. */
  @Command(
      name = "explain",
      description = "Says what becomes of a key under the table in force at the first agent.",
      mixinStandardHelpOptions = true)
  static final class Explain extends VariantsAction {
    @Parameters(paramLabel = "KEY", description = "as a client asks for it")
    private String key;

    @Option(names = "--file", required = true, description = "the rules")
    private Path file;

    @Option(names = "--class", required = true, description = "the request's class")
    private String requestClass;

    @Override
    public Integer call() throws Exception {
      VariantFile read = open(file).file();
      try (Fleet agents = new Fleet(Inventory.read(inventory()))) {
        Fleet.Answers<Api.VariantView> views =
            agents.ask(Selection.all(), client -> client.variants(read.settings().fleet()));
        Api.VariantView view = views.answers().values().stream().findFirst().orElse(null);
        if (view == null) {
          views.failures().values().forEach(failure -> err().println(failure.getMessage()));
          err().flush();
          return UNKNOWN;
        }
        String becomes = becomes(read, view);
        out().println(becomes == null ? key + " stays as it is: " + why(read, view) : becomes);
        out().flush();
        return becomes == null ? 1 : 0;
      }
    }

    private String becomes(VariantFile read, Api.VariantView view) throws VariantException {
      if (view.text() == null) {
        return null;
      }
      VariantKeys keys = new VariantKeys(read.settings(), read.rules());
      VariantTable table = VariantTable.parse(view.text(), view.digest());
      if (keys.take(0, table, Long.MAX_VALUE / 2) != HeldTable.Taken.NEW) {
        return null;
      }
      String canonical = keys.canonical(0, key, requestClass);
      return canonical == null ? null : key + " is asked for as " + canonical;
    }

    private String why(VariantFile read, Api.VariantView view) {
      for (String family : view.kept()) {
        if (key.startsWith(family)) {
          return "operators keep " + family + " split";
        }
      }
      if (view.text() == null) {
        return "agent " + view.agent() + " holds no table";
      }
      return read.rules()
          .explain(key, requestClass)
          .orElse("its class is in no set of table " + view.version());
    }
  }

  /** Something that all agents are told of a family. */
  abstract static class FamilyAction extends VariantsAction {
    @Parameters(paramLabel = "FAMILY", description = "the prefix of its rule")
    private String family;

    @Option(names = "--fleet", defaultValue = "main", description = "(default: main)")
    private String fleet;

    /** Tells one agent. */
    abstract Api.VariantView tell(AgentClient agent, String fleet, String family)
        throws AgentCallException;

    /** What is said of it once all agents know. */
    abstract String told(String family);

    @Override
    public Integer call() throws Exception {
      try (Fleet agents = new Fleet(Inventory.read(inventory()))) {
        Fleet.Answers<Api.VariantView> views =
            agents.ask(Selection.all(), client -> tell(client, fleet, family));
        views.failures().values().forEach(failure -> err().println(failure.getMessage()));
        if (json()) {
          print(new ArrayList<>(views.answers().values()));
        } else if (views.failures().isEmpty()) {
          out().println(told(family));
        }
        if (views.answers().values().stream().noneMatch(this::concerns)) {
          err().println("no table in force has a family " + family);
        }
        out().flush();
        err().flush();
        return views.failures().isEmpty() ? 0 : UNKNOWN;
      }
    }

    private boolean concerns(Api.VariantView view) {
      return Status.families(view).containsKey(family);
    }
  }

  /** Keeps a family split. */
  @Command(
      name = "split",
      description =
          "Has a family's keys left alone on all nodes, within hold_s and two thirds of it, until"
              + " it is allowed again. One agent that knows is enough; exit code 3 names those that"
              + " do not.",
      mixinStandardHelpOptions = true)
  static final class Split extends FamilyAction {
    @Override
    Api.VariantView tell(AgentClient agent, String fleet, String family) throws AgentCallException {
      return agent.split(fleet, family);
    }

    @Override
    String told(String family) {
      return family + " is kept split";
    }
  }

  /** Allows a family again. */
  @Command(
      name = "allow",
      description =
          "Allows a family that was split by hand to be merged again. It stays split while an agent"
              + " that could not be told keeps it so (exit code 3).",
      mixinStandardHelpOptions = true)
  static final class Allow extends FamilyAction {
    @Override
    Api.VariantView tell(AgentClient agent, String fleet, String family) throws AgentCallException {
      return agent.allow(fleet, family);
    }

    @Override
    String told(String family) {
      return family + " may be merged again";
    }
  }

  /** Checks a file. */
  @Command(name = "check", description = "Checks a file of rules.", mixinStandardHelpOptions = true)
  static final class Check extends VariantsAction {
    @Parameters(paramLabel = "FILE", description = "rules, and the classes that are the same")
    private Path file;

    @Override
    public Integer call() {
      VariantFile read = open(file).file();
      out()
          .println(
              file
                  + ": "
                  + read.rules().all().size()
                  + " rules, "
                  + read.rows().size()
                  + " families with classes that are the same");
      out().flush();
      return 0;
    }
  }
}
