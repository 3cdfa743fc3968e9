package beamspread.node.discovery;

import beamspread.model.ListEvidence;
import java.util.Locale;

/**
 * Describes how a call to discovery failed, or how a watch ended.
 *
 * @param kind the cause
 * @param detail more about the cause, for the log; empty for none
 * @param callNumber the number of the call, counted from the start of the process
 * @param durationMillis how long the call had lasted when it failed, in milliseconds
 * @param progress how much of the answer had been received
 */
public record CallFailure(
    Kind kind, String detail, long callNumber, long durationMillis, Progress progress) {

  /** The cause of a failure. */
  public enum Kind {
    /** This node could not start the call, for example because it could not open a socket. */
    NOT_MADE,
    /** Nothing listens at the address, or there is no route to it. */
    NOT_THERE,
    /** The connection was not established in time. */
    NO_CONNECTION,
    /** Discovery answered with a status other than 200. */
    STATUS,
    /** The connection was reset or closed. */
    CONNECTION_LOST,
    /** The answer ended, which the answer to a watch never does by itself. */
    ENDED,
    /** Nothing was received for too long. */
    SILENT,
    /** The answer arrived too slowly. */
    SLOW,
    /** The answer could not be parsed. */
    MALFORMED
  }

  /** How much of an answer had been received. */
  public enum Progress {
    /** Nothing. */
    NONE,
    /** Its beginning. */
    ANSWER_STARTED,
    /** At least one list or change, so that a watch was established. */
    LIST_RECEIVED
  }

  /** A reset within this time means that discovery is down; a later one, that it is overloaded. */
  private static final long IMMEDIATE_RESET_MILLIS = 1000;

  /**
   * Returns what the failure shows about discovery, or null if it shows nothing.
   *
   * @param pushed whether discovery is an agent on this host, which sends nothing while it has no
   *     list
   */
  ListEvidence evidence(boolean pushed) {
    if (progress == Progress.LIST_RECEIVED) {
      return null;
    }
    boolean unanswered = progress == Progress.NONE;
    boolean down =
        kind == Kind.NOT_THERE
            || unanswered && endedByPeer() && durationMillis < IMMEDIATE_RESET_MILLIS;
    if (pushed) {
      down |= kind == Kind.NO_CONNECTION || unanswered && kind == Kind.SILENT;
      if (kind == Kind.NOT_MADE) {
        return null;
      }
    }
    // In all other cases discovery may be serving other nodes, so it counts as reached.
    return down ? ListEvidence.UNREACHABLE : ListEvidence.REACHED;
  }

  /** Returns whether discovery ended the connection or the answer. */
  boolean endedByPeer() {
    return kind == Kind.CONNECTION_LOST || kind == Kind.ENDED;
  }

  /** Returns the kind and the detail as text for the log. */
  public String description() {
    return kind.name().toLowerCase(Locale.ROOT).replace('_', ' ')
        + (detail.isEmpty() ? "" : " (" + detail + ")");
  }
}
