package beamspread.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The values of variants, and all that they ever were: a variant has its object's value until it is
 * given one of its own. For several threads.
 */
public final class VariantValues {
  /** A value, and since when it is the one. */
  private record Since(long at, String value) {}

  private final Map<String, List<Since>> own = new HashMap<>();
  private final Map<String, Long> asked = new HashMap<>();

  /** The value of an object that each of its variants has at first. */
  private static String first(String key) {
    return "object-" + key.substring(key.lastIndexOf('/') + 1);
  }

  /** The value of a key now; it counts as asked for. */
  synchronized String ask(String key) {
    asked.merge(key, 1L, Long::sum);
    List<Since> values = own.get(key);
    return values == null ? first(key) : values.get(values.size() - 1).value();
  }

  /** A key has another value from now on. */
  public synchronized void change(String key, String value) {
    own.computeIfAbsent(key, one -> new ArrayList<>()).add(new Since(System.nanoTime(), value));
  }

  /** How often each key was asked for. */
  public synchronized Map<String, Long> asked() {
    return Map.copyOf(asked);
  }

  /**
   * For how long a value had not been a key's when it was asked for; 0 where it was then or later.
   *
   * @param from when the key was asked for
   * @return nanoseconds; the longest possible for a value that the key never had
   */
  public synchronized long staleNanos(String key, String value, long from) {
    List<Since> values = new ArrayList<>();
    values.add(new Since(Long.MIN_VALUE, first(key)));
    values.addAll(own.getOrDefault(key, List.of()));
    long stale = Long.MAX_VALUE;
    for (int i = 0; i < values.size(); i++) {
      if (values.get(i).value().equals(value)) {
        boolean last = i == values.size() - 1;
        stale = last ? 0 : Math.min(stale, Math.max(0, from - values.get(i + 1).at()));
      }
    }
    return stale;
  }
}
