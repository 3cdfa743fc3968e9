package beamspread.relay;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits on values that are relayed while they are received.
 *
 * @param maxHeldPerValue bytes of one value that may be held, received and not yet read by its
 *     client, before reading pauses; one more read may be added
 * @param maxHeldTotal the same over all values; above it only values of which nothing is held are
 *     read
 * @param minPaceBytes how much of the held bytes a client must read within {@code paceWindowNanos}
 *     while too little of {@code maxHeldTotal} is left for one more value
 * @param paceWindowNanos length of the window for {@code minPaceBytes}
 * @param maxSilenceNanos how long, beyond the request's deadline, a cache server may send nothing
 *     in the middle of a value, or a client read nothing of it
 * @param maxDiscardBytes how much of an unwanted value is still read to keep its connection
 */
public record RelaySettings(
    int maxHeldPerValue,
    long maxHeldTotal,
    int minPaceBytes,
    long paceWindowNanos,
    long maxSilenceNanos,
    int maxDiscardBytes) {

  /** The bounds of {@code maxSilenceNanos} by default. */
  private static final long MIN_SILENCE_NANOS = 3_000_000_000L;

  private static final long MAX_SILENCE_NANOS = 10_000_000_000L;

  /**
   * Returns the defaults of a node.
   *
   * @param maxHeldTotal how many bytes it may use for this
   * @param idleTimeoutNanos how long a connection may be idle by the settings of the deployment
   */
  public static RelaySettings defaults(long maxHeldTotal, long idleTimeoutNanos) {
    long maxSilenceNanos =
        Math.max(MIN_SILENCE_NANOS, Math.min(MAX_SILENCE_NANOS, idleTimeoutNanos));
    return new RelaySettings(
        1 << 19, maxHeldTotal, 1 << 15, 3_000_000_000L, maxSilenceNanos, 1 << 18);
  }

  /** Returns all invalid settings, as messages for operators; empty if all are valid. */
  public List<String> validationErrors() {
    List<String> errors = new ArrayList<>();
    if (maxHeldPerValue < 1) {
      errors.add("maxHeldPerValue must be at least 1, is " + maxHeldPerValue);
    }
    if (maxHeldTotal < maxHeldPerValue) {
      errors.add(
          "maxHeldTotal must be at least maxHeldPerValue, which is "
              + maxHeldPerValue
              + ", is "
              + maxHeldTotal);
    }
    if (minPaceBytes < 1 || paceWindowNanos < 1) {
      errors.add("minPaceBytes and paceWindowNanos must be at least 1");
    }
    if (maxSilenceNanos < 1) {
      errors.add("maxSilenceNanos must be at least 1, is " + maxSilenceNanos);
    }
    if (maxDiscardBytes < 0) {
      errors.add("maxDiscardBytes must not be negative, is " + maxDiscardBytes);
    }
    return errors;
  }
}
