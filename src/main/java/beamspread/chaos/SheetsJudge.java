package beamspread.chaos;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What must hold of a store whose sheets have one writer each: what was told as stored is read, and
 * nothing else is; a write has one effect, whatever tries it took.
 */
final class SheetsJudge {
  private SheetsJudge() {}

  /** What is known of a sheet at a time of the history. */
  private static final class Sheet {
    private long stored;
    private long storedAt;
    private long askedAt;
    private final Map<Long, Long> receipts = new HashMap<>();
  }

  static List<Breach> judge(List<History.Event> events) {
    List<Breach> breaches = new ArrayList<>();
    Map<String, Sheet> sheets = new HashMap<>();
    Map<Long, String> receipts = new HashMap<>();
    for (History.Event event : events) {
      String key = event.text("sheet");
      if (key == null) {
        continue;
      }
      Sheet sheet = sheets.computeIfAbsent(key, k -> new Sheet());
      if (event.what() == History.What.ASKED) {
        sheet.askedAt = event.atNanos();
      } else if (event.facts().containsKey("read")) {
        long read = event.number("read", 0);
        if (read != sheet.stored) {
          String says =
              read == 0
                  ? "version %d was told as stored, and there is no sheet".formatted(sheet.stored)
                  : "version %d was told as stored last, and %d is read"
                      .formatted(sheet.stored, read);
          breaches.add(
              breach(
                  read < sheet.stored ? "sheet lost" : "refused write seen",
                  key + ": " + says,
                  sheet.storedAt,
                  event));
        }
      } else if ("stored".equals(event.text("fate"))) {
        long version = event.number("version", 0);
        long receipt = event.number("receipt", -1);
        Long first = sheet.receipts.putIfAbsent(version, receipt);
        if (first != null && first != receipt) {
          breaches.add(
              breach(
                  "effect twice",
                  "%s version %d has receipts %d and %d".formatted(key, version, first, receipt),
                  sheet.askedAt,
                  event));
        }
        String other = receipts.putIfAbsent(receipt, key + " version " + version);
        if (other != null && !other.equals(key + " version " + version)) {
          breaches.add(
              breach(
                  "receipt given twice",
                  "%d is the receipt of %s and of %s version %d"
                      .formatted(receipt, other, key, version),
                  sheet.askedAt,
                  event));
        }
        if (version > sheet.stored) {
          sheet.stored = version;
          sheet.storedAt = event.atNanos();
        }
      }
    }
    return breaches;
  }

  private static Breach breach(String what, String says, long from, History.Event at) {
    return new Breach(
        what,
        says,
        from,
        at.atNanos(),
        Set.of(at.who(), StoreScene.STORE),
        Map.of("sheet", at.text("sheet")));
  }
}
