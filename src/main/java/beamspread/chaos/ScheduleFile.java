package beamspread.chaos;

import beamspread.fleet.config.TomlFaults;
import beamspread.fleet.config.TomlFile;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A file that says what is played: a scene and what befalls it. Checked whole, every fault named
 * with its line.
 *
 * @param scene makes the scene anew for each play
 * @param draw what is drawn beside the faults that are named; null for nothing
 */
public record ScheduleFile(
    Supplier<Scene> scene, String sceneName, Schedule named, Schedule.Draw draw) {
  private static final double LONGEST_SECONDS = 600;

  /** Processes of one kind that a scene may have. */
  private static final int MOST_PROCESSES = 1024;

  /** SIGSTOP for longer is a death in all but name. */
  private static final double LONGEST_PAUSE = 20;

  private static final double SHORTEST = 0.01;

  private static final Set<String> ROOT =
      Set.of(
          "scene",
          "seed",
          "seconds",
          "settle_s",
          "store",
          "rollout",
          "nodes",
          "variants",
          "fault",
          "random");

  private static final List<String> SCENES = List.of("store", "rollout", "nodes", "variants");

  private static final Set<String> FAULT =
      Set.of(
          "kind",
          "at_s",
          "for_s",
          "from",
          "to",
          "who",
          "percent",
          "delay_ms",
          "jitter_ms",
          "bytes_per_s",
          "every_ms",
          "state");

  /** Reads a file; ends with all that is wrong with it. */
  public static ScheduleFile read(Path file) throws TomlFaults {
    TomlFile toml = TomlFile.read(file);
    TomlFile.Table root = toml.root();
    root.only(ROOT);
    String name = root.text("scene", "");
    Supplier<Scene> scene = scene(name, root);
    double seconds = root.decimal("seconds", 10, 1, LONGEST_SECONDS);
    double settle = root.decimal("settle_s", 5, 0, LONGEST_SECONDS);
    int seed = root.number("seed", 1, 0, Integer.MAX_VALUE);
    List<Fault> faults = new ArrayList<>();
    Schedule.Draw draw = null;
    if (scene != null) {
      Scene of = scene.get();
      for (TomlFile.Table table : root.tables("fault")) {
        fault(table, of, seconds, faults);
      }
      if (faults.size() > Schedule.MOST_FAULTS) {
        root.fault(
            "fault", "more than " + Schedule.MOST_FAULTS + " faults, parts of flaps counted");
      }
      draw = root.has("random") ? draw(root.table("random"), of) : null;
    }
    toml.finish();
    return new ScheduleFile(scene, name, new Schedule(seed, seconds, settle, faults), draw);
  }

  private static Supplier<Scene> scene(String name, TomlFile.Table root) {
    for (String other : SCENES) {
      if (!other.equals(name) && root.has(other)) {
        root.fault(other, "belongs to another scene than '" + name + "'");
      }
    }
    TomlFile.Table table = root.table(name.isEmpty() ? "scene" : name);
    switch (name) {
      case "store" -> {
        table.only(Set.of("writers"));
        int writers = table.number("writers", 4, 1, 64);
        return () -> new StoreScene(writers);
      }
      case "rollout" -> {
        table.only(Set.of("agents", "instances", "callers", "lease_s", "judge_owners", "parts"));
        int agents = table.number("agents", 2, 1, MOST_PROCESSES);
        int instances = table.number("instances", 3, 1, MOST_PROCESSES);
        int callers = table.number("callers", 2, 1, 16);
        int lease = table.number("lease_s", 0, 0, 3600);
        boolean judged = table.flag("judge_owners", lease > 0);
        boolean parts = table.flag("parts", judged);
        RolloutScene.Operators operators =
            new RolloutScene.Operators(callers, lease, judged, parts);
        return () -> new RolloutScene(agents, instances, operators);
      }
      case "nodes" -> {
        table.only(Set.of("nodes", "servers", "rate", "tier"));
        int nodes = table.number("nodes", 4, 2, MOST_PROCESSES);
        int servers = table.number("servers", 4, 1, MOST_PROCESSES);
        double rate = table.decimal("rate", 200, 1, 5000);
        boolean tier = table.flag("tier", false);
        return () -> new NodesScene(nodes, servers, rate, tier);
      }
      case "variants" -> {
        table.only(Set.of("agents", "nodes", "owners"));
        int agents = table.number("agents", 3, 1, MOST_PROCESSES);
        int nodes = table.number("nodes", 9, 1, MOST_PROCESSES);
        int owners = table.number("owners", 2, 1, 16);
        return () -> new VariantsScene(agents, nodes, owners);
      }
      default -> {
        root.fault("scene", "store, rollout, nodes or variants is needed");
        return null;
      }
    }
  }

  private static void fault(TomlFile.Table table, Scene scene, double seconds, List<Fault> faults) {
    table.only(FAULT);
    Fault.Kind kind = kind(table, "kind", table.requiredText("kind"), scene);
    double at = table.decimal("at_s", 0, 0, LONGEST_SECONDS);
    double most = kind == Fault.Kind.PAUSE ? LONGEST_PAUSE : LONGEST_SECONDS;
    double lasts = table.decimal("for_s", 1, SHORTEST, most);
    if (at + lasts > seconds) {
      table.fault("for_s", "ends after the run's " + seconds + " seconds");
    }
    if (kind == null) {
      return;
    }
    List<String> from = parties(table, kind.links() ? "from" : "who", scene, kind);
    List<String> to = kind.links() ? parties(table, "to", scene, kind) : List.of();
    if (kind.links()) {
      absent(table, "who", kind);
      if (scene.links().stream().noneMatch(link -> joins(from, to, link))) {
        table.fault("to", "no link joins these");
      }
    } else {
      absent(table, "from", kind);
      absent(table, "to", kind);
    }
    LinkState state = state(table, kind);
    long begin = (long) (at * 1e9);
    long length = (long) (lasts * 1e9);
    if (kind == Fault.Kind.FLAP) {
      int every = table.number("every_ms", 200, 40, 60_000);
      faults.addAll(Schedule.flap(begin, length, every * 1_000_000L, from, to));
    } else {
      absent(table, "every_ms", kind);
      String kept = table.text("state", "kept");
      if (!kept.equals("kept") && !kept.equals("none")) {
        table.fault("state", "kept or none is needed");
      } else if (table.has("state") && kind != Fault.Kind.KILL && kind != Fault.Kind.TERM) {
        table.fault("state", "belongs to kill and term");
      }
      faults.add(new Fault(kind, begin, length, from, to, state, kept.equals("none")));
    }
  }

  private static void absent(TomlFile.Table table, String key, Fault.Kind kind) {
    if (table.has(key)) {
      table.fault(key, "is nothing that " + kind.word() + " has");
    }
  }

  private static boolean joins(List<String> from, List<String> to, Network.Link link) {
    return any(from, link.from()) && any(to, link.to())
        || any(from, link.to()) && any(to, link.from());
  }

  private static boolean any(List<String> patterns, String name) {
    return patterns.stream().anyMatch(pattern -> Fault.matches(pattern, name));
  }

  private static Fault.Kind kind(TomlFile.Table table, String key, String word, Scene scene) {
    Fault.Kind kind = Fault.Kind.of(word);
    if (kind == null) {
      if (!word.isBlank()) {
        table.fault(key, "'" + word + "' is none of " + words());
      }
    } else if (kind == Fault.Kind.UPGRADE && !scene.upgrades()) {
      table.fault(key, "this scene has no upgrades");
      return null;
    }
    return kind;
  }

  private static String words() {
    return Stream.of(Fault.Kind.values()).map(Fault.Kind::word).collect(Collectors.joining(", "));
  }

  /** Names, in which a star stands for anything; each must mean somebody. */
  private static List<String> parties(
      TomlFile.Table table, String key, Scene scene, Fault.Kind kind) {
    List<String> names = table.texts(key);
    Set<String> all =
        kind.links()
            ? scene.links().stream()
                .flatMap(link -> Stream.of(link.from(), link.to()))
                .collect(Collectors.toCollection(java.util.TreeSet::new))
            : new java.util.TreeSet<>(scene.processes());
    if (names.isEmpty()) {
      table.fault(key, "is missing: one or more of " + String.join(", ", all));
    }
    for (String name : names) {
      if (name.indexOf('*') != name.lastIndexOf('*')) {
        table.fault(key, "'" + name + "' has more than one star");
      } else if (all.stream().noneMatch(one -> Fault.matches(name, one))) {
        table.fault(key, "'" + name + "' is none of " + String.join(", ", all));
      }
    }
    return names;
  }

  private static LinkState state(TomlFile.Table table, Fault.Kind kind) {
    boolean share =
        switch (kind) {
          case LOSS, DUPLICATE, REORDER, TRUNCATE -> true;
          default -> false;
        };
    if (!share) {
      absent(table, "percent", kind);
    }
    if (kind != Fault.Kind.DELAY) {
      absent(table, "delay_ms", kind);
      absent(table, "jitter_ms", kind);
    }
    if (kind != Fault.Kind.SLOW) {
      absent(table, "bytes_per_s", kind);
    }
    double part = table.decimal("percent", 20, 0.1, 100) / 100;
    boolean late = kind == Fault.Kind.DELAY;
    return LinkState.of(
        kind,
        part,
        late ? table.number("delay_ms", 100, 0, 60_000) * 1_000_000L : 0,
        late ? table.number("jitter_ms", 0, 0, 60_000) * 1_000_000L : 0,
        kind == Fault.Kind.SLOW ? table.number("bytes_per_s", 32_000, 100, 1_000_000_000) : 0);
  }

  private static Schedule.Draw draw(TomlFile.Table table, Scene scene) {
    table.only(Set.of("faults", "kinds", "least_s", "most_s"));
    int count = table.number("faults", 8, 1, Schedule.MOST_FAULTS);
    List<Fault.Kind> kinds = new ArrayList<>();
    for (String word : table.texts("kinds")) {
      Fault.Kind kind = kind(table, "kinds", word, scene);
      if (kind != null) {
        kinds.add(kind);
      }
    }
    if (kinds.isEmpty() && !table.has("kinds")) {
      Stream.of(Fault.Kind.values())
          .filter(kind -> kind != Fault.Kind.UPGRADE || scene.upgrades())
          .forEach(kinds::add);
    }
    double least = table.decimal("least_s", 0.2, SHORTEST, LONGEST_SECONDS);
    double most = table.decimal("most_s", 3, SHORTEST, LONGEST_PAUSE);
    if (least > most) {
      table.fault("least_s", "is above most_s");
    }
    return new Schedule.Draw(count, List.copyOf(kinds), least, most);
  }

  /** What is played with this seed. */
  public Schedule schedule(long seed) {
    Schedule own = new Schedule(seed, named.seconds(), named.settleSeconds(), named.faults());
    if (draw == null) {
      return own;
    }
    Scene of = scene.get();
    return own.and(draw, of.links(), of.processes());
  }
}
