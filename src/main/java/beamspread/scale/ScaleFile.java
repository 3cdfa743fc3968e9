package beamspread.scale;

import beamspread.fleet.config.TomlFaults;
import beamspread.fleet.config.TomlFile;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What a scale run plays.
 *
 * @param sizes of the fleet, in rising order
 * @param design the one of them that the aims are for
 * @param servers cache servers of the list
 * @param seconds how long a fleet is watched: at rest, and as long again with a change a second
 * @param waves changes that are timed until they are in force at all
 * @param calls times that all agents are asked
 * @param deaths virtual minutes of membership, a death in each
 * @param mostMembers the largest size that membership is played at: its joins cost the cube of it
 * @param aims the most that a figure may be at the design's size, by its name
 */
public record ScaleFile(
    List<Integer> sizes,
    int design,
    int servers,
    int seconds,
    int waves,
    int calls,
    int deaths,
    int mostMembers,
    Map<String, Double> aims) {
  private static final int MOST = 4096;

  /** Membership is played up to this size where the file names none. */
  private static final int USUAL_MEMBERS = 1000;

  private static final Set<String> ROOT =
      Set.of(
          "sizes",
          "design",
          "servers",
          "seconds",
          "waves",
          "calls",
          "deaths",
          "most_members",
          "aims");

  /** Reads a file; ends with all that is wrong with it. */
  public static ScaleFile read(Path file) throws TomlFaults {
    TomlFile toml = TomlFile.read(file);
    TomlFile.Table root = toml.root();
    root.only(ROOT);
    List<Integer> sizes = sizes(root);
    int design = root.number("design", 0, 1, MOST);
    if (!root.has("design")) {
      root.fault("design", "is missing");
    } else if (!sizes.isEmpty() && !sizes.contains(design)) {
      root.fault("design", "must be one of the sizes, is " + design);
    }
    int servers = root.number("servers", 210, 1, 2000);
    int seconds = root.number("seconds", 10, 1, 600);
    int waves = root.number("waves", 5, 1, 1000);
    int calls = root.number("calls", 5, 1, 1000);
    int deaths = root.number("deaths", 2, 0, 1000);
    int mostMembers = root.number("most_members", USUAL_MEMBERS, 3, MOST);
    Map<String, Double> aims = new TreeMap<>();
    TomlFile.Table table = root.table("aims");
    for (String name : Figures.NAMES) {
      if (table.has(name)) {
        aims.put(name, table.decimal(name, 0, 0, 1e12));
      }
    }
    table.only(Set.copyOf(Figures.NAMES));
    toml.finish();
    return new ScaleFile(sizes, design, servers, seconds, waves, calls, deaths, mostMembers, aims);
  }

  private static List<Integer> sizes(TomlFile.Table root) {
    List<Integer> sizes = new ArrayList<>();
    for (long size : root.numbers("sizes")) {
      if (size < 1 || size > MOST) {
        root.fault("sizes", "each must be 1 to " + MOST + ", one is " + size);
      } else if (!sizes.isEmpty() && size <= sizes.get(sizes.size() - 1)) {
        root.fault("sizes", "must rise, " + size + " does not");
      } else {
        sizes.add((int) size);
      }
    }
    if (!root.has("sizes")) {
      root.fault("sizes", "is missing");
    }
    return sizes;
  }

  /** The largest of its fleets. */
  public int largest() {
    return sizes.get(sizes.size() - 1);
  }
}
