package beamspread.node;

import java.util.Iterator;
import java.util.LinkedHashSet;

/**
 * The ids of requests whose clients have left while a server may have carried out an effect that
 * must not be repeated: the newest ones, up to a bound.
 */
final class AbandonedIds {
  private static final int MAX_IDS = 4096;

  private final LinkedHashSet<String> ids = new LinkedHashSet<>();

  /** Adds an id; the oldest one is forgotten for it beyond the bound. */
  void add(String id) {
    ids.add(id);
    if (ids.size() > MAX_IDS) {
      Iterator<String> oldest = ids.iterator();
      oldest.next();
      oldest.remove();
    }
  }

  boolean contains(String id) {
    return ids.contains(id);
  }
}
