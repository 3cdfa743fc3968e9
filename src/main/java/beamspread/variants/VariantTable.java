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
 * same. As text it has one line per family and a last line with their number, by which truncation
 * is detected; its digest is sent separately.
 */
public final class VariantTable {
  /** Separates the classes of a set. */
  static final char CLASS_SEPARATOR = '+';

  /** Maximum length of a table's text, in bytes. */
  public static final int MAX_BYTES = 1 << 20;

  private static final String FIRST_LINE = "variants 1";
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

  /** Creates a table with these rows. */
  public static VariantTable of(
      String fleet, VariantVersion version, Map<String, List<Set<String>>> rows) {
    Map<String, List<Set<String>>> sorted = new TreeMap<>(rows);
    StringBuilder text = new StringBuilder(FIRST_LINE).append('\n');
    text.append("fleet ").append(fleet).append('\n');
    text.append("version ").append(version.token()).append(' ').append(version.number());
    text.append('\n');
    sorted.forEach(
        (family, sets) -> {
          text.append("row ").append(family);
          for (Set<String> set : sets) {
            text.append(' ')
                .append(String.join(Character.toString(CLASS_SEPARATOR), new TreeSet<>(set)));
          }
          text.append('\n');
        });
    text.append("end ").append(sorted.size()).append('\n');
    return new VariantTable(fleet, version, sorted, text.toString());
  }

  /**
   * Parses a table.
   *
   * @param digest the expected digest
   * @throws VariantException that names the invalid line
   */
  public static VariantTable parse(String text, String digest) throws VariantException {
    if (text.length() > MAX_BYTES) {
      throw new VariantException("the table has more than " + MAX_BYTES + " bytes");
    }
    if (!digest(text).equals(digest)) {
      throw new VariantException("the digest does not match: it is " + digest(text));
    }
    String[] lines = text.split("\n", -1);
    int last = lines.length - 2;
    if (last < 3 || !lines[last + 1].isEmpty() || !lines[0].equals(FIRST_LINE)) {
      throw new VariantException("not a table, or a truncated one");
    }
    String fleet = parseWords(lines, 1, "fleet", 2)[1];
    String[] version = parseWords(lines, 2, "version", 3);
    Map<String, List<Set<String>>> rows = new TreeMap<>();
    for (int i = 3; i < last; i++) {
      parseRow(lines, i, rows);
    }
    if (parseNumber(lines, last, parseWords(lines, last, "end", 2)[1]) != rows.size()) {
      throw new VariantException("line " + (last + 1) + ": the number of rows does not match");
    }
    VariantVersion parsedVersion =
        new VariantVersion(parseNumber(lines, 2, version[1]), parseNumber(lines, 2, version[2]));
    return new VariantTable(fleet, parsedVersion, rows, text);
  }

  private static void parseRow(String[] lines, int lineIndex, Map<String, List<Set<String>>> rows)
      throws VariantException {
    String[] words = lines[lineIndex].split(" ");
    if (words.length < 3 || !words[0].equals("row")) {
      throw new VariantException("line " + (lineIndex + 1) + ": is not a row");
    }
    List<Set<String>> sets = new ArrayList<>();
    Set<String> seenClasses = new TreeSet<>();
    for (int i = 2; i < words.length; i++) {
      List<String> classes = List.of(words[i].split("\\" + CLASS_SEPARATOR, -1));
      for (String deviceClass : classes) {
        if (deviceClass.isEmpty() || !seenClasses.add(deviceClass)) {
          throw new VariantException(
              "line " + (lineIndex + 1) + ": '" + deviceClass + "' is empty or named twice");
        }
      }
      sets.add(Set.copyOf(classes));
    }
    if (rows.put(words[1], List.copyOf(sets)) != null) {
      throw new VariantException(
          "line " + (lineIndex + 1) + ": duplicate row of family " + words[1]);
    }
  }

  private static String[] parseWords(String[] lines, int lineIndex, String keyword, int count)
      throws VariantException {
    String[] words = lines[lineIndex].split(" ");
    if (words.length != count || !words[0].equals(keyword)) {
      throw new VariantException("line " + (lineIndex + 1) + ": expected " + keyword);
    }
    return words;
  }

  private static long parseNumber(String[] lines, int lineIndex, String word)
      throws VariantException {
    try {
      return Long.parseUnsignedLong(word);
    } catch (NumberFormatException e) {
      throw new VariantException("line " + (lineIndex + 1) + ": '" + word + "' is not a number");
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
   * Checks the table against the rules.
   *
   * @throws VariantException that names the row whose family or class the rules lack
   */
  public void check(VariantRules rules) throws VariantException {
    for (var row : rows.entrySet()) {
      VariantRule rule = rules.rule(row.getKey());
      if (rule == null) {
        throw new VariantException("row " + row.getKey() + ": there is no rule with this prefix");
      }
      for (Set<String> set : row.getValue()) {
        for (String deviceClass : set) {
          if (!rule.classes().contains(deviceClass)) {
            throw new VariantException(
                "row " + row.getKey() + ": the rule has no class '" + deviceClass + "'");
          }
        }
      }
    }
  }

  /** Returns the fleet of the table. */
  public String fleet() {
    return fleet;
  }

  /** Returns the version of the table. */
  public VariantVersion version() {
    return version;
  }

  /** Returns the sets of equivalent classes, by family. */
  public Map<String, List<Set<String>>> rows() {
    return rows;
  }

  /** Returns the table as text. */
  public String text() {
    return text;
  }

  /** Returns the SHA-256 of the text, in hexadecimal. */
  public String digest() {
    return digest;
  }
}
