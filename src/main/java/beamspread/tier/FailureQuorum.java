package beamspread.tier;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Decides from suspicion reports whether a member has failed. A single reporter may be mistaken or
 * have a broken link, so two thirds of the member's observers must suspect it, each counted once.
 * Suspicions by fewer observers never remove a member, however long they last, which prevents
 * flapping (the two watermarks of Rapid, Suresh 2018).
 */
final class FailureQuorum {
  /** Maximum number of reporters kept for one subject. */
  private static final int MAX_REPORTERS = 4 * Rings.RING_COUNT;

  private final Map<Integer, Map<Integer, ReceivedReport>> reportsBySubject = new HashMap<>();

  /** A suspicion report and the time at which it was received. */
  private record ReceivedReport(SuspicionReport report, long receivedAtNanos) {}

  /**
   * Stores a report; returns false if it is not newer than the reporter's last one, or if there is
   * no room for another reporter.
   */
  boolean recordReport(long now, SuspicionReport report) {
    Map<Integer, ReceivedReport> reports =
        reportsBySubject.computeIfAbsent(report.subject(), key -> new HashMap<>());
    ReceivedReport previous = reports.get(report.reporter());
    if (previous != null && !report.isNewerThan(previous.report())) {
      return false;
    }
    if (previous == null && reports.size() >= MAX_REPORTERS) {
      // A withdrawal only serves to reject older reports of the same reporter.
      reports.values().removeIf(received -> !received.report().suspected());
      if (reports.size() >= MAX_REPORTERS) {
        return false;
      }
    }
    reports.put(report.reporter(), new ReceivedReport(report, now));
    return true;
  }

  /** Discards the reports about a subject, when it has a new revision or is no longer active. */
  void clearSubject(int subject) {
    reportsBySubject.remove(subject);
  }

  /** Discards the reports by a member that is no longer active or has restarted. */
  void removeReporter(int reporter) {
    reportsBySubject.values().forEach(reports -> reports.remove(reporter));
    reportsBySubject.values().removeIf(Map::isEmpty);
  }

  /**
   * Discards reports received before this time and not renewed: their reporters may have failed as
   * well.
   */
  void expireReports(long cutoffNanos) {
    for (Iterator<Map<Integer, ReceivedReport>> iterator = reportsBySubject.values().iterator();
        iterator.hasNext(); ) {
      Map<Integer, ReceivedReport> reports = iterator.next();
      reports.values().removeIf(received -> received.receivedAtNanos() < cutoffNanos);
      if (reports.isEmpty()) {
        iterator.remove();
      }
    }
  }

  /** Returns the members that suspect a subject now, in ascending order. */
  int[] reporters(int subject) {
    Map<Integer, ReceivedReport> reports = reportsBySubject.get(subject);
    return reports == null
        ? new int[0]
        : reports.values().stream()
            .filter(received -> received.report().suspected())
            .mapToInt(received -> received.report().reporter())
            .sorted()
            .toArray();
  }

  /** Returns all members that are suspected now, in ascending order. */
  int[] suspects() {
    return reportsBySubject.keySet().stream()
        .mapToInt(Integer::intValue)
        .filter(subject -> reporters(subject).length > 0)
        .sorted()
        .toArray();
  }

  /**
   * Returns whether enough observers suspect a member to declare it failed.
   *
   * @param observers the observers of the member, in any order
   * @param singleObserverSuffices whether one observer is enough, as in a tier of two members
   */
  boolean isGone(int subject, int[] observers, boolean singleObserverSuffices) {
    int[] reporters = reporters(subject);
    int suspecting = 0;
    for (int observer : observers) {
      suspecting += Arrays.binarySearch(reporters, observer) >= 0 ? 1 : 0;
    }
    return suspecting > 0
        && suspecting >= quorumSize(observers.length)
        && (observers.length > 1 || singleObserverSuffices);
  }

  /** Returns how many observers must suspect a member: two thirds, and both where there are two. */
  static int quorumSize(int observerCount) {
    return Math.max(Math.min(2, observerCount), (2 * observerCount + 2) / 3);
  }
}
