package beamspread.scale;

import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Plays a fleet at one size after the other, and judges the figures of the design's size. */
public final class ScaleRun {
  /** How far a hollow one's bytes may lie from a real one's. */
  private static final double MOST_APART = 0.05;

  /** Memory that a host needs beyond its heap for each that it holds, in MB: threads, buffers. */
  private static final int BESIDE_HEAP_MB = 4;

  /** Descriptors of a host for each that it holds. */
  private static final int DESCRIPTORS_EACH = 14;

  private final ScaleFile plan;
  private final long seed;
  private final Path folder;
  private final Consumer<String> says;
  private final Map<Integer, Figures> sizes = new TreeMap<>();
  private final Map<String, double[]> apart = new LinkedHashMap<>();

  /**
   * A run that has not begun.
   *
   * @param folder where files of the processes go
   * @param says told how it goes on
   */
  public ScaleRun(ScaleFile plan, long seed, Path folder, Consumer<String> says) {
    this.plan = plan;
    this.seed = seed;
    this.folder = folder;
    this.says = says;
  }

  /**
   * What it will use at most.
   *
   * @param memoryMb of the machine
   * @param descriptors of one process
   */
  public record Needs(long memoryMb, long descriptors) {
    /** Why it does not fit this machine, null if it does. */
    public String lack(long machineMb, long mostDescriptors) {
      if (memoryMb > machineMb / 2) {
        return "it may need "
            + memoryMb
            + " MB, half of this machine's memory is "
            + machineMb / 2
            + " MB: leave out the largest size";
      }
      return descriptors <= mostDescriptors
          ? null
          : "a process of it may need "
              + descriptors
              + " descriptors and may hold "
              + mostDescriptors
              + " (ulimit -n)";
    }
  }

  /** What a plan will use at most: fleets are played one after the other. */
  public static Needs needs(ScaleFile plan) {
    long each = HollowFleet.EACH_MB + BESIDE_HEAP_MB;
    return new Needs(
        2L * HollowFleet.HOST_MB + plan.largest() * each,
        HollowFleet.HOST_MB + (long) plan.largest() * DESCRIPTORS_EACH);
  }

  /** This machine's memory in MB, and how many descriptors a process of this user may hold. */
  public static long[] machine() throws IOException {
    long memory = 0;
    for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
      if (line.startsWith("MemTotal:")) {
        memory = Long.parseLong(line.replaceAll("\\D", "")) / 1024;
      }
    }
    long descriptors = 0;
    for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
      if (line.startsWith("Max open files")) {
        descriptors = Long.parseLong(line.replaceAll("\\s+", " ").split(" ")[4]);
      }
    }
    return new long[] {memory, descriptors};
  }

  /** Plays all sizes. */
  public void play() throws Exception {
    apart.put("node", NodeTrial.realAndHollow(plan, folder("real-node")));
    apart.put("agent", AgentTrial.realAndHollow(plan, folder("real-agent")));
    apart.forEach(
        (what, both) ->
            says.accept(
                "%s: real %.0f bytes, hollow %.0f bytes".formatted(what, both[0], both[1])));
    for (int size : plan.sizes()) {
      Figures figures = new Figures();
      sizes.put(size, figures);
      NodeTrial.play(plan, size, folder("nodes-" + size), figures);
      AgentTrial.play(plan, size, folder("agents-" + size), figures);
      if (plan.deaths() > 0 && size <= plan.mostMembers()) {
        MemberTrial.play(plan, size, seed, figures);
      }
      says.accept("size " + size + ": " + figures.values());
    }
  }

  private Path folder(String name) throws IOException {
    return Files.createDirectory(folder.resolve(name));
  }

  /** What was not met, in words; empty if all was. */
  public List<String> missed() {
    return missed(plan, sizes.get(plan.design()), apart);
  }

  static List<String> missed(ScaleFile plan, Figures design, Map<String, double[]> apart) {
    List<String> missed = new ArrayList<>();
    plan.aims()
        .forEach(
            (name, most) -> {
              double is = design.of(name);
              if (!(is <= most)) {
                missed.add(
                    String.format(
                        Locale.ROOT, "%s at %d: %s, at most %s", name, plan.design(), is, most));
              }
            });
    apart.forEach(
        (what, both) -> {
          if (!(Math.abs(both[1] - both[0]) <= MOST_APART * both[0])) {
            missed.add(
                String.format(
                    Locale.ROOT,
                    "a hollow %s: %.0f bytes, a real one %.0f",
                    what,
                    both[1],
                    both[0]));
          }
        });
    return missed;
  }

  /** All figures, for JSON. */
  public Map<String, Object> tree() {
    Map<String, Object> bySize = new LinkedHashMap<>();
    sizes.forEach((size, figures) -> bySize.put(Integer.toString(size), figures.values()));
    Map<String, Object> tree = new LinkedHashMap<>();
    tree.put("seed", seed);
    tree.put("servers", plan.servers());
    tree.put("design", plan.design());
    tree.put("sizes", bySize);
    tree.put("real_and_hollow_bytes", apart);
    tree.put("aims", plan.aims());
    tree.put("missed", missed());
    return tree;
  }

  /** A row for each figure: its name, then its value at each size. */
  public List<List<String>> rows() {
    List<List<String>> rows = new ArrayList<>();
    for (String name : Figures.NAMES) {
      List<String> row = new ArrayList<>(List.of(name));
      for (Figures figures : sizes.values()) {
        BigDecimal value = figures.values().get(name);
        row.add(value == null ? "-" : value.toPlainString());
      }
      rows.add(row);
    }
    return rows;
  }
}
