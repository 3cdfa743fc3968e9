package beamspread.node;

import beamspread.model.Hashes;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests whose clients have left while a server may have carried out an effect that
 * must not be repeated, or may yet. Each is kept for its time; beyond a bound the oldest goes.
 */
final class AbandonedIds {
  /** More than a node may have open at once. */
  private static final int MAX_IDS = 1 << 15;

  /** Until when each is kept, by the hash of its id, oldest first. */
  private final LinkedHashMap<Long, Long> keptUntil = new LinkedHashMap<>();

  /** Adds an id that is kept until the given time. */
  void add(String id, long now, long untilNanos) {
    removeExpired(now);
    keptUntil.put(Hashes.of(id), untilNanos);
    if (keptUntil.size() > MAX_IDS) {
      Iterator<Long> oldest = keptUntil.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  private void removeExpired(long now) {
    Iterator<Map.Entry<Long, Long>> entries = keptUntil.entrySet().iterator();
    while (entries.hasNext() && now - entries.next().getValue() >= 0) {
      entries.remove();
    }
  }

  /** Returns whether the id was added and its time is not over. */
  boolean contains(String id, long now) {
    Long until = keptUntil.get(Hashes.of(id));
    return until != null && now - until < 0;
  }
}
