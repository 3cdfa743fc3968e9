package beamspread.node.server;

import beamspread.node.wire.Json;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts replies of cache servers that answer nothing, what became of refusals of attempts that
 * must not be repeated, and why connections ended. All times are of {@link System#nanoTime}.
 */
public final class ReplyStatistics {
  /** How long after an unsolicited reply refusals are not believed without full proof. */
  private static final long SUSPICION_NANOS = 60_000_000_000L;

  private long unsolicited;
  private long lastUnsolicitedAt;
  private long proven;
  private long closed;
  private long unproven;
  private long stalled;
  private long resumed;
  private final Map<CloseCause, Long> closes = new EnumMap<>(CloseCause.class);

  /** Records a reply that answers nothing. */
  void recordUnsolicited(long now) {
    unsolicited++;
    lastUnsolicitedAt = now;
  }

  /** Records a line that an identified reply has proven to be the answer. */
  void recordProven() {
    proven++;
  }

  /** Records a refusal that the server's close right behind it has confirmed. */
  void recordClosed() {
    closed++;
  }

  /** Records a line that may not have been the answer, so that the request may have run. */
  void recordUnproven() {
    unproven++;
  }

  /** Records a reply that has begun and makes no progress. */
  void recordStall() {
    stalled++;
  }

  /** Records that a reply that had made no progress has continued. */
  void recordStallEnd() {
    resumed++;
  }

  /** Records the end of a connection. */
  void recordClose(CloseCause cause) {
    closes.merge(cause, 1L, Long::sum);
  }

  /** Returns how many connections have ended since the start, for each cause. */
  public Map<CloseCause, Long> closesByCause() {
    return closes;
  }

  /** Returns whether a cache server has lately sent a reply that answers nothing. */
  boolean isUnsolicitedLikely(long now) {
    return unsolicited > 0 && now - lastUnsolicitedAt < SUSPICION_NANOS;
  }

  /** Writes the fields {@code replies} and {@code server_closes} of the status. */
  public void write(JsonGenerator json) throws IOException {
    json.writeObjectFieldStart("replies");
    json.writeNumberField("unsolicited", unsolicited);
    json.writeNumberField("proven", proven);
    json.writeNumberField("closed", closed);
    json.writeNumberField("unproven", unproven);
    json.writeNumberField("stalled", stalled);
    json.writeNumberField("resumed", resumed);
    json.writeEndObject();
    Json.writeCounts(json, "server_closes", closes);
  }
}
