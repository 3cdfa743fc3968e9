package beamspread.variants;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One version of the shared table: by family, the sets of device classes whose responses are the
 * same. As text it has a line for each family and a last line that counts them, so that one that is
 * cut off is known; its digest goes beside it.
 */
public final class VariantTable {
  /** Between the classes of a set. */
  static final char JOINED = '+';

  /** The longest text of a table, in bytes. */
  public static final int LONGEST = 1 << 20;

  private static final String FIRST = "variants 1";
  private final String fleet;
  private final VariantVersion version;
  private final Map<String, List<Set<String>>> rows;
  private final String text;
  private final String digest;

  private VariantTable(
      String fleet, VariantVersion version, Map<String, List<Set<String>>> rows, String text) {
    this.fleet = fleet;
    this.version = version;
    this.rows = rows;
    this.text = text;
    this.digest = digest(text);
  }

  /** A table of these rows. */
  public static VariantTable of(
      String fleet, VariantVersion version, Map<String, List<Set<String>>> rows) {
    Map<String, List<Set<String>>> sorted = new TreeMap<>(rows);
    StringBuilder text = new StringBuilder(FIRST).append('\n');
    text.append("fleet ").append(fleet).append('\n');
    text.append("version ").append(version.token()).append(' ').append(version.number());
    text.append('\n');
    sorted.forEach(
        (family, sets) -> {
          text.append("row ").append(family);
          for (Set<String> set : sets) {
            text.append(' ').append(String.join(Character.toString(JOINED), new TreeSet<>(set)));
          }
          text.append('\n');
        });
    text.append("end ").append(sorted.size()).append('\n');
    return new VariantTable(fleet, version, sorted, text.toString());
  }

  /**
   * Reads a table.
   *
   * @param digest what its digest must be
   * @throws VariantException that names the line that makes no sense
   */
  public static VariantTable parse(String text, String digest) throws VariantException {
    if (text.length() > LONGEST) {
      throw new VariantException("a table of more than " + LONGEST + " bytes");
    }
    if (!digest(text).equals(digest)) {
      throw new VariantException("the digest does not fit: it is " + digest(text));
    }
    String[] lines = text.split("\n", -1);
    int last = lines.length - 2;
    if (last < 3 || !lines[last + 1].isEmpty() || !lines[0].equals(FIRST)) {
      throw new VariantException("no table, or one that is cut off");
    }
    String fleet = words(lines, 1, "fleet", 2)[1];
    String[] version = words(lines, 2, "version", 3);
    Map<String, List<Set<String>>> rows = new TreeMap<>();
    for (int i = 3; i < last; i++) {
      row(lines, i, rows);
    }
    if (number(lines, last, words(lines, last, "end", 2)[1]) != rows.size()) {
      throw new VariantException("line " + (last + 1) + ": counts other rows than there are");
    }
    VariantVersion of =
        new VariantVersion(number(lines, 2, version[1]), number(lines, 2, version[2]));
    return new VariantTable(fleet, of, rows, text);
  }

  private static void row(String[] lines, int number, Map<String, List<Set<String>>> rows)
      throws VariantException {
    String[] words = lines[number].split(" ");
    if (words.length < 3 || !words[0].equals("row")) {
      throw new VariantException("line " + (number + 1) + ": no row");
    }
    List<Set<String>> sets = new ArrayList<>();
    Set<String> all = new TreeSet<>();
    for (int i = 2; i < words.length; i++) {
      List<String> classes = List.of(words[i].split("\\" + JOINED, -1));
      for (String one : classes) {
        if (one.isEmpty() || !all.add(one)) {
          throw new VariantException("line " + (number + 1) + ": '" + one + "' stands twice");
        }
      }
      sets.add(Set.copyOf(classes));
    }
    if (rows.put(words[1], List.copyOf(sets)) != null) {
      throw new VariantException("line " + (number + 1) + ": a second row of " + words[1]);
    }
  }

  private static String[] words(String[] lines, int number, String first, int count)
      throws VariantException {
    String[] words = lines[number].split(" ");
    if (words.length != count || !words[0].equals(first)) {
      throw new VariantException("line " + (number + 1) + ": no " + first);
    }
    return words;
  }

  private static long number(String[] lines, int line, String word) throws VariantException {
    try {
      return Long.parseUnsignedLong(word);
    } catch (NumberFormatException e) {
      throw new VariantException("line " + (line + 1) + ": '" + word + "' is no number");
    }
  }

  private static String digest(String text) {
    try {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Checks the table against rules.
   *
   * @throws VariantException that names the row whose family or class the rules lack
   */
  public void check(VariantRules rules) throws VariantException {
    for (var row : rows.entrySet()) {
      VariantRule rule = rules.rule(row.getKey());
      if (rule == null) {
        throw new VariantException("row " + row.getKey() + ": there is no rule of this prefix");
      }
      for (Set<String> set : row.getValue()) {
        for (String one : set) {
          if (!rule.classes().contains(one)) {
            throw new VariantException(
                "row " + row.getKey() + ": the rule has no class '" + one + "'");
          }
        }
      }
    }
  }

  /** The fleet that it is for. */
  public String fleet() {
    return fleet;
  }

  /** Which version it is. */
  public VariantVersion version() {
    return version;
  }

  /** By family, the sets of classes that are the same. */
  public Map<String, List<Set<String>>> rows() {
    return rows;
  }

  /** The table as text. */
  public String text() {
    return text;
  }

  /** SHA-256 of the text, in hexadecimal. */
  public String digest() {
    return digest;
  }
}
