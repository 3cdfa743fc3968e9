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
 * @param paceWindowNanos length of the window for {@code minPaceBytes}
 * @param maxSilenceNanos how long a cache server may send nothing in the middle of a value
 * @param maxDiscardBytes how much of an unwanted value is still read to keep its connection
 */
public record RelaySettings(
    int maxHeldPerValue,
    long maxHeldTotal,
    int minPaceBytes,
    long paceWindowNanos,
    long maxSilenceNanos,
    int maxDiscardBytes) {

  /** Returns the defaults of a node that may use this many bytes for it. */
  public static RelaySettings defaults(long maxHeldTotal) {
    return new RelaySettings(
        1 << 19, maxHeldTotal, 1 << 15, 3_000_000_000L, 3_000_000_000L, 1 << 18);
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
