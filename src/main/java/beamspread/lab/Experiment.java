package beamspread.lab;

import beamspread.fleet.config.TomlFaults;
import beamspread.fleet.config.TomlFile;
import beamspread.model.Settings;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What is to be compared, as a file of TOML names it: a fleet, and variants that say what is other
 * with them. The file is checked whole; each fault is told with its line and key.
 *
 * @param variants the fleets by the variants' names, in the file's order; the first is the base
 */
public record Experiment(Map<String, Fleet> variants) {
  /** The name of the fleet without a variant. */
  static final String BASE = "base";

  private static final Fleet.BoxKind USUAL_BOX =
      new Fleet.BoxKind("box", 6, 2, 1, 200, 30, 0.001, 20_000);

  private static final Fleet USUAL =
      new Fleet(
          2,
          1,
          List.of(USUAL_BOX),
          new Fleet.Origin(8, 0.02, 1000),
          new Fleet.Load(
              500,
              20_000,
              0.9,
              0.1,
              0.004,
              Work.EXPONENTIAL,
              2,
              0.1,
              List.of(
                  service("read", 0.25, 1.5, Settings.Effect.SAFE),
                  service("write", 0.25, 1.5, Settings.Effect.UNSAFE))),
          new Fleet.Network(0.0002, 0.002, 0.5),
          new Fleet.Pool(6, 0, 32, 0),
          Settings.Spread.DEFAULT,
          Fleet.Policy.OWN,
          List.of());

  /** A copy that nobody changes. */
  public Experiment {
    variants = new LinkedHashMap<>(variants);
  }

  static Settings.ServiceClass service(
      String name, double aim, double deadline, Settings.Effect effect) {
    return new Settings.ServiceClass(
        name, aim, 0, deadline, 1, 0.3, effect, Settings.Group.ALL, 1, false);
  }

  /** The same with these variants alone. */
  public Experiment only(List<String> names) {
    Map<String, Fleet> some = new LinkedHashMap<>();
    names.forEach(name -> some.put(name, fleet(name)));
    return new Experiment(some);
  }

  /** The fleet of a variant. */
  public Fleet fleet(String name) {
    return variants.get(name);
  }

  /**
   * Reads an experiment.
   *
   * @throws TomlFaults with all that is wrong with the file
   */
  public static Experiment read(Path file) throws TomlFaults {
    return read(file, "");
  }

  /** The same, with further variants as TOML. */
  public static Experiment read(Path file, String further) throws TomlFaults {
    TomlFile toml = TomlFile.read(file, further);
    TomlFile.Table root = toml.root();
    root.only(
        Set.of("fleet", "box", "origin", "load", "network", "pool", "spread", "fault", "variant"));
    Map<String, Fleet> variants = new LinkedHashMap<>();
    Fleet base = fleet(root, USUAL);
    variants.put(BASE, base);
    List<TomlFile.Table> tables = root.tables("variant");
    TomlFile.unique(tables, "name");
    for (TomlFile.Table table : tables) {
      String name = table.requiredText("name");
      table.only(
          Set.of("name", "fleet", "box", "origin", "load", "network", "pool", "spread", "fault"));
      if (name.equals(BASE)) {
        table.fault("name", "'" + BASE + "' is the fleet without a variant");
      }
      variants.put(name, fleet(table, base));
    }
    toml.finish();
    variants.forEach((name, fleet) -> fleet.faultsFound().forEach(one -> root.fault(name, one)));
    toml.finish();
    return new Experiment(variants);
  }

  /** A fleet by what a table says; what it does not say is as in another. */
  private static Fleet fleet(TomlFile.Table from, Fleet as) {
    TomlFile.Table fleet = from.table("fleet");
    fleet.only(Set.of("nodes", "zones", "policy"));
    return new Fleet(
        fleet.number("nodes", as.nodes(), 1, Fleet.MOST_NODES),
        fleet.number("zones", as.zones(), 1, 16),
        boxes(from, as.boxes()),
        origin(from.table("origin"), as.origin()),
        load(from.table("load"), as.load()),
        network(from.table("network"), as.network()),
        pool(from.table("pool"), as.pool()),
        spread(from.table("spread"), as.spread()),
        policy(fleet, as.policy()),
        faults(from, as.faults()));
  }

  private static List<Fleet.BoxKind> boxes(TomlFile.Table from, List<Fleet.BoxKind> as) {
    if (!from.has("box")) {
      return as;
    }
    List<Fleet.BoxKind> boxes = new ArrayList<>();
    List<TomlFile.Table> tables = from.tables("box");
    TomlFile.unique(tables, "kind");
    for (TomlFile.Table box : tables) {
      box.only(
          Set.of("kind", "count", "cores", "speed", "queue", "connections", "handshake_s", "keys"));
      boxes.add(
          new Fleet.BoxKind(
              box.requiredText("kind"),
              box.number("count", USUAL_BOX.count(), 1, 10_000),
              box.number("cores", USUAL_BOX.cores(), 1, 1024),
              box.decimal("speed", USUAL_BOX.speed(), 0.001, 1000),
              box.number("queue", USUAL_BOX.queue(), 0, 1_000_000),
              box.number("connections", USUAL_BOX.connections(), 1, 1_000_000),
              box.decimal("handshake_s", USUAL_BOX.handshake(), 0, 10),
              box.number("keys", USUAL_BOX.keys(), 1, 100_000_000)));
    }
    return boxes;
  }

  private static Fleet.Origin origin(TomlFile.Table from, Fleet.Origin as) {
    from.only(Set.of("cores", "work_s", "queue"));
    return new Fleet.Origin(
        from.number("cores", as.cores(), 1, 100_000),
        from.decimal("work_s", as.work(), 0, 100),
        from.number("queue", as.queue(), 0, 1_000_000));
  }

  private static Fleet.Load load(TomlFile.Table from, Fleet.Load as) {
    from.only(
        Set.of(
            "rate",
            "keys",
            "skew",
            "writes",
            "work_s",
            "distribution",
            "retries",
            "pause_s",
            "aim_s",
            "deadline_s"));
    Settings.ServiceClass read = as.services().get(0);
    double aim = from.decimal("aim_s", read.aim(), 0.0001, 100);
    double deadline = from.decimal("deadline_s", read.deadline(), 0.001, 100);
    return new Fleet.Load(
        from.decimal("rate", as.rate(), 0.001, 1e6),
        from.number("keys", as.keys(), 1, 10_000_000),
        from.decimal("skew", as.skew(), 0, 5),
        from.decimal("writes", as.writes(), 0, 1),
        from.decimal("work_s", as.work(), 1e-6, 100),
        distribution(from, as.distribution()),
        from.number("retries", as.retries(), 0, 100),
        from.decimal("pause_s", as.pause(), 0, 100),
        List.of(
            service("read", aim, deadline, Settings.Effect.SAFE),
            service("write", aim, deadline, Settings.Effect.UNSAFE)));
  }

  private static Work distribution(TomlFile.Table from, Work as) {
    return choice(from, "distribution", from.text("distribution", text(as)), as);
  }

  /** A constant as files name it. */
  private static String text(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The constant that a text names; where none is, that is a fault, and the other one is taken. */
  private static <E extends Enum<E>> E choice(
      TomlFile.Table from, String key, String text, E other) {
    E[] all = other.getDeclaringClass().getEnumConstants();
    StringBuilder names = new StringBuilder();
    for (int i = 0; i < all.length; i++) {
      if (text(all[i]).equals(text)) {
        return all[i];
      }
      names.append(i == 0 ? "" : i < all.length - 1 ? ", " : " or ");
      names.append('\'').append(text(all[i])).append('\'');
    }
    from.fault(key, "must be " + names + ", is '" + text + "'");
    return other;
  }

  private static Fleet.Network network(TomlFile.Table from, Fleet.Network as) {
    from.only(Set.of("near_s", "far_s", "list_s"));
    return new Fleet.Network(
        from.decimal("near_s", as.near(), 0, 10),
        from.decimal("far_s", as.far(), 0, 10),
        from.decimal("list_s", as.list(), 0, 600));
  }

  private static Fleet.Pool pool(TomlFile.Table from, Fleet.Pool as) {
    from.only(Set.of("connections", "spare", "depth", "free_each"));
    return new Fleet.Pool(
        from.number("connections", as.connections(), 1, 10_000),
        from.number("spare", as.spare(), 0, 10_000),
        from.number("depth", as.depth(), 1, 10_000),
        from.decimal("free_each", as.freeEach(), 0, 10_000));
  }

  private static Settings.Spread spread(TomlFile.Table from, Settings.Spread as) {
    from.only(Set.of("epsilon", "floor", "points"));
    return new Settings.Spread(
        from.decimal("epsilon", as.epsilon(), 0, 100),
        from.number("floor", as.tierFloor(), 1, 10_000),
        from.number("points", as.points(), 4, 4096));
  }

  private static Fleet.Policy policy(TomlFile.Table from, Fleet.Policy as) {
    return choice(from, "policy", from.text("policy", text(as)), as);
  }

  private static List<Fleet.Fault> faults(TomlFile.Table from, List<Fleet.Fault> as) {
    if (!from.has("fault")) {
      return as;
    }
    List<Fleet.Fault> faults = new ArrayList<>();
    for (TomlFile.Table fault : from.tables("fault")) {
      fault.only(Set.of("kind", "at_s", "lasts_s", "box", "node", "part"));
      Fleet.FaultKind kind =
          choice(fault, "kind", fault.requiredText("kind"), Fleet.FaultKind.BOX_RESTARTS);
      faults.add(
          new Fleet.Fault(
              kind,
              fault.decimal("at_s", 0, 0, 1e6),
              fault.decimal("lasts_s", 1, 0, 1e6),
              fault.number(kind == Fleet.FaultKind.NODE_DIES ? "node" : "box", 0, 0, 9_999),
              fault.decimal("part", 0.5, 0.001, 1)));
    }
    return faults;
  }
}
