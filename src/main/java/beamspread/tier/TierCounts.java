package beamspread.tier;

import java.util.EnumMap;
import java.util.Map;

/** Counts of a tier since its start: datagrams sent, accepted and rejected, changes and stalls. */
public final class TierCounts {
  private final Map<Datagram.RejectReason, Long> rejectedByReason =
      new EnumMap<>(Datagram.RejectReason.class);
  private long sent;
  private long sentBytes;
  private long received;
  private long changes;
  private long stalls;

  void recordSent(int bytes) {
    sent++;
    sentBytes += bytes;
  }

  void recordReceived() {
    received++;
  }

  void rejected(Datagram.RejectReason reason) {
    rejectedByReason.merge(reason, 1L, Long::sum);
  }

  void recordChange() {
    changes++;
  }

  void recordStall() {
    stalls++;
  }

  /** Returns the number of datagrams sent. */
  public long sentDatagrams() {
    return sent;
  }

  /** Returns the bytes of the datagrams sent, without UDP and IP headers. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Returns the number of datagrams accepted. */
  public long receivedDatagrams() {
    return received;
  }

  /** Returns how often a record changed. */
  public long changes() {
    return changes;
  }

  /** Returns how often this process stalled. */
  public long stalls() {
    return stalls;
  }

  /**
   * Returns the number of datagrams rejected for a reason: malformed, foreign, misplaced or past.
   */
  public long rejected(String reason) {
    return rejectedByReason.getOrDefault(
        Datagram.RejectReason.valueOf(reason.toUpperCase(java.util.Locale.ROOT)), 0L);
  }
}
