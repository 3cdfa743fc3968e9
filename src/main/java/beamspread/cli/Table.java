package beamspread.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Rows in columns as wide as they need to be. */
final class Table {
  private final List<String[]> rows = new ArrayList<>();

  Table(String... head) {
    rows.add(head);
  }

  void row(Object... cells) {
    String[] texts = new String[cells.length];
    for (int i = 0; i < cells.length; i++) {
      // What an agent or a node says must not move the cursor.
      texts[i] = cells[i] == null ? "-" : cells[i].toString().replaceAll("\\p{Cntrl}", " ");
    }
    rows.add(texts);
  }

  /** A number with so many places behind the point, the same in every country. */
  static String decimal(double value, int places) {
    return String.format(Locale.ROOT, "%." + places + "f", value);
  }

  void print(PrintWriter out) {
    int[] widths = new int[rows.get(0).length];
    for (String[] row : rows) {
      for (int i = 0; i < row.length; i++) {
        widths[i] = Math.max(widths[i], row[i].length());
      }
    }
    for (String[] row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < row.length; i++) {
        line.append(row[i]);
        if (i + 1 < row.length) {
          line.append(" ".repeat(widths[i] - row[i].length() + 2));
        }
      }
      out.println(line.toString().stripTrailing());
    }
  }
}
