package beamspread.node.discovery;

import beamspread.model.ListEvidence;
import java.util.Locale;

/**
 * How a call to discovery ended without giving what it was made for, or a watch broke.
 *
 * @param kind what ended it
 * @param detail more of the cause, in words for operators; empty for none
 * @param call the number of the call, counted from the start of the process
 * @param millis how long it had lasted by then, in milliseconds
 * @param progress how far its answer had come
 */
public record CallFailure(Kind kind, String detail, long call, long millis, Progress progress) {

  /** What ended a call. */
  public enum Kind {
    /** This node could not make it: it had no socket, for one. */
    NOT_MADE,
    /** Nothing listens there, or no way leads there. */
    NOT_THERE,
    /** No connection came up in time. */
    NO_CONNECTION,
    /** Discovery answered with a status that is no answer. */
    STATUS,
    /** The connection broke. */
    CONNECTION_LOST,
    /** The answer came to its end, which a watch has not. */
    ENDED,
    /** Nothing came for too long. */
    SILENT,
    /** Its answer came too slowly. */
    SLOW,
    /** What came can't be read. */
    MALFORMED
  }

  /** How far an answer had come. */
  public enum Progress {
    /** Nothing had come of it. */
    NONE,
    /** It had begun. */
    BEGUN,
    /** It had told a list or a change, and so was a watch that stood. */
    TOLD
  }

  /** Until so long after a call a reset tells of a service that is down, and not of a wait. */
  private static final long AT_ONCE_MILLIS = 1000;

  /**
   * What the failure says of discovery; null for nothing.
   *
   * @param pushed whether discovery is an agent beside this process, which is silent while it has
   *     nothing to tell
   */
  ListEvidence evidence(boolean pushed) {
    if (progress == Progress.TOLD) {
      return null;
    }
    boolean unanswered = progress == Progress.NONE;
    boolean down = kind == Kind.NOT_THERE || unanswered && broken() && millis < AT_ONCE_MILLIS;
    if (pushed) {
      down |= kind == Kind.NO_CONNECTION || unanswered && kind == Kind.SILENT;
      if (kind == Kind.NOT_MADE) {
        return null;
      }
    }
    // Whatever else it was, discovery may have been there for others: it counts as reached.
    return down ? ListEvidence.UNREACHABLE : ListEvidence.REACHED;
  }

  /** Whether the other end has ended it. */
  boolean broken() {
    return kind == Kind.CONNECTION_LOST || kind == Kind.ENDED;
  }

  /** In words for operators. */
  public String text() {
    return kind.name().toLowerCase(Locale.ROOT).replace('_', ' ')
        + (detail.isEmpty() ? "" : " (" + detail + ")");
  }
}
