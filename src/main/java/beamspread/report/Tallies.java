package beamspread.report;

import beamspread.maintenance.Tally;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The lines that nodes write of each of their seconds ({@link Tally}), added up over many nodes: by
 * second, by node, and by server that had no connection to give. What is cut or says no number is
 * counted as unreadable and left out.
 */
public final class Tallies {
  /** Seconds, nodes and servers kept; what lies beyond is counted as unreadable. */
  private static final int MOST = 100_000;

  private static final Pattern PAIR = Pattern.compile("([a-z_]+)=(\\S+)");

  /** What grows with time stands for a moment and is not added up within a node. */
  private static final List<String> GAUGES = List.of("open", "attempts", "clients", "links");

  private final TreeMap<Long, Map<String, Long>> bySecond = new TreeMap<>();
  private final TreeMap<String, Map<String, Long>> byNode = new TreeMap<>();
  private final TreeMap<String, Long> byServer = new TreeMap<>();
  private int lines;
  private int unreadable;

  /**
   * Reads the logs of these files and folders; a node is the name of its file.
   *
   * @throws IOException if one can't be read
   */
  public static Tallies read(Collection<Path> paths) throws IOException {
    Tallies all = new Tallies();
    for (Path path : paths) {
      for (Path file : files(path)) {
        all.file(file);
      }
    }
    return all;
  }

  private static List<Path> files(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> inside = Files.walk(path, 2)) {
      return inside.filter(file -> file.toString().endsWith(".log")).sorted().toList();
    }
  }

  private void file(Path file) throws IOException {
    String node = file.getFileName().toString().replaceFirst("\\.log$", "");
    var decoder =
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPLACE)
            .onUnmappableCharacter(CodingErrorAction.REPLACE);
    try (var in = Files.newInputStream(file);
        var text = new BufferedReader(new InputStreamReader(in, decoder))) {
      for (String line = text.readLine(); line != null; line = text.readLine()) {
        int head = line.indexOf(Tally.LINE_PREFIX + " at=");
        if (head >= 0 && !add(node, line.substring(head))) {
          unreadable++;
        }
      }
    }
  }

  /** Takes in one line of a node; false if it can't be read. */
  public boolean add(String node, String line) {
    Map<String, Long> figures = new LinkedHashMap<>();
    Map<String, Long> shut = new LinkedHashMap<>();
    Matcher pairs = PAIR.matcher(line);
    while (pairs.find()) {
      try {
        if (pairs.group(1).equals(Tally.CONNECT_FAILURES_FIELD)) {
          for (String one : pairs.group(2).split(",")) {
            String[] parts = one.split(":", 2);
            shut.put(parts[0], Long.parseLong(parts.length == 2 ? parts[1] : ""));
          }
        } else {
          figures.put(pairs.group(1), Long.parseLong(pairs.group(2)));
        }
      } catch (NumberFormatException e) {
        return false;
      }
    }
    Long at = figures.remove("at");
    // The last figure of a whole line: one that was cut has it not.
    if (at == null || !figures.containsKey("turned_down") || !room(bySecond, at / 1000)) {
      return false;
    }
    lines++;
    figures.put("lines", 1L);
    sum(bySecond.computeIfAbsent(at / 1000, second -> new LinkedHashMap<>()), figures, false);
    sum(byNode.computeIfAbsent(node, name -> new LinkedHashMap<>()), figures, true);
    shut.forEach(
        (server, times) -> {
          if (room(byServer, server)) {
            byServer.merge(server, times, Long::sum);
          }
        });
    return true;
  }

  private static <K> boolean room(Map<K, ?> map, K key) {
    return map.size() < MOST || map.containsKey(key);
  }

  private static void sum(Map<String, Long> into, Map<String, Long> figures, boolean overTime) {
    figures.forEach(
        (name, value) ->
            into.merge(name, value, overTime && GAUGES.contains(name) ? Math::max : Long::sum));
  }

  /** How many lines were read, and how many could not be. */
  public int lines() {
    return lines;
  }

  /** Lines that were cut or make no sense. */
  public int unreadable() {
    return unreadable;
  }

  /** Sums over all nodes by second of the day's clock; nodes in a second under "lines". */
  public Map<Long, Map<String, Long>> bySecond() {
    return bySecond;
  }

  /** Sums over all seconds by node; what stands for a moment is its highest. */
  public Map<String, Map<String, Long>> byNode() {
    return byNode;
  }

  /** Attempts that found no connection by server, the most first. */
  public List<Map.Entry<String, Long>> byServer() {
    List<Map.Entry<String, Long>> all = new ArrayList<>(byServer.entrySet());
    all.sort(Map.Entry.<String, Long>comparingByValue().reversed());
    return all;
  }

  /** Sums over everything, but for what stands for a moment. */
  public Map<String, Long> whole() {
    Map<String, Long> whole = new LinkedHashMap<>();
    bySecond.values().forEach(second -> sum(whole, second, true));
    return whole;
  }
}
