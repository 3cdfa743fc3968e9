package beamspread.node.discovery;

import java.util.Locale;

/**
 * How a call to discovery ended without giving what it was made for, or a watch broke.
 *
 * @param kind what ended it
 * @param detail more of the cause, in words for operators; empty for none
 * @param call the number of the call, counted from the start of the process
 * @param millis how long it had lasted by then, in milliseconds
 * @param told whether it had told a list or a change before
 */
public record CallFailure(Kind kind, String detail, long call, long millis, boolean told) {

  /** What ended a call. */
  public enum Kind {
    /** No connection came up. */
    NO_CONNECTION,
    /** Discovery answered with a status that is no answer. */
    STATUS,
    /** The connection broke. */
    CONNECTION_LOST,
    /** The answer came to its end, which a watch has not. */
    ENDED,
    /** Nothing came for too long. */
    SILENT,
    /** What came can't be read. */
    MALFORMED
  }

  /** In words for operators. */
  public String text() {
    return kind.name().toLowerCase(Locale.ROOT).replace('_', ' ')
        + (detail.isEmpty() ? "" : " (" + detail + ")");
  }
}
