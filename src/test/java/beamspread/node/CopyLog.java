package beamspread.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Records each copy of a request that cache servers receive, and finds forbidden repetitions. */
final class CopyLog {
  /** How long after its first copy a keyed request may be repeated, as the nodes are told. */
  private static final long REPEAT_WINDOW_NANOS = 1_000_000_000L;

  /**
   * One copy, in the order of arrival.
   *
   * @param refused whether the server refused it without running it
   */
  private record Copy(String server, String zone, long receivedAt, boolean refused) {}

  private final Map<String, List<Copy>> copiesById = new ConcurrentHashMap<>();

  void received(String id, String server, String zone, boolean refused) {
    List<Copy> copies = copiesById.computeIfAbsent(id, key -> new ArrayList<>());
    synchronized (copies) {
      copies.add(new Copy(server, zone, System.nanoTime(), refused));
    }
  }

  /** Returns the requests of these ids of which a copy was sent after one that may have run. */
  List<String> repeatedAfterRun(List<String> ids) {
    return ids.stream()
        .filter(id -> lastRunBeforeLastCopy(id) != null)
        .map(id -> id + ": " + copiesById.get(id))
        .toList();
  }

  /**
   * Returns the keyed requests of these ids of which a copy was sent, after one that may have run,
   * to a server of another zone or after the window for repeats.
   */
  List<String> repeatedOutsideGroup(List<String> ids) {
    List<String> violations = new ArrayList<>();
    for (String id : ids) {
      Copy first = null;
      for (Copy copy : copiesById.getOrDefault(id, List.of())) {
        if (first != null
            && (!copy.zone().equals(first.zone())
                || copy.receivedAt() - first.receivedAt() > REPEAT_WINDOW_NANOS)) {
          violations.add(id + ": " + copiesById.get(id));
          break;
        }
        first = first == null && !copy.refused() ? copy : first;
      }
    }
    return violations;
  }

  private Copy lastRunBeforeLastCopy(String id) {
    List<Copy> copies = copiesById.getOrDefault(id, List.of());
    Copy run = null;
    for (Copy copy : copies.subList(0, Math.max(0, copies.size() - 1))) {
      run = copy.refused() ? run : copy;
    }
    return run;
  }

  /** Returns how many copies were refused. */
  long refusedCount() {
    return copiesById.values().stream().flatMap(List::stream).filter(Copy::refused).count();
  }
}
