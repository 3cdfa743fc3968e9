package beamspread.node;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Logs what is wrong with the list of cache servers, each kind of trouble at most once a minute.
 */
final class ListTroubles {
  private static final long REPEAT_NANOS = 60_000_000_000L;

  /** Kinds of trouble that are remembered. */
  private static final int REMEMBERED = 64;

  private final Consumer<String> log;

  private final Map<String, Long> loggedAt =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > REMEMBERED;
        }
      };

  ListTroubles(Consumer<String> log) {
    this.log = log;
  }

  void report(String why) {
    long now = System.nanoTime();
    Long before = loggedAt.get(why);
    if (before == null || now - before > REPEAT_NANOS) {
      loggedAt.put(why, now);
      log.accept("discovery: " + why);
    }
  }
}
