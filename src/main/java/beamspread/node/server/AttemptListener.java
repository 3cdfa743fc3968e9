package beamspread.node.server;

import beamspread.model.Outcome;
import beamspread.node.wire.MetaReply;

/** Receives the progress and outcome of attempts. */
public interface AttemptListener {
  /**
   * Returns whether an attempt about to be written is still wanted: its request has no final
   * answer, and its client is connected.
   */
  boolean isWanted(Attempt attempt);

  /** Called when an attempt was written in full; from then on it may have run. */
  void attemptWritten(Attempt attempt);

  /** Called when an attempt ended without an answer, or with one that can't be served. */
  void attemptEnded(Attempt attempt, Outcome.Result result);

  /**
   * Called when it is not certain which command a reply answers, if any.
   *
   * @param description what was received, and on which connection
   */
  void replyProblem(String description);

  /**
   * Called repeatedly while an attempt waits for a reply, its own or one before it, that has begun
   * and makes no progress. The attempt stays in flight.
   *
   * @param pausedNanos for how long nothing of the reply has come
   */
  void replyStalled(Attempt attempt, long pausedNanos);

  /**
   * Called when a connection has ended with attempts in flight, before their ends are reported.
   *
   * @param description which one, why, and what was in flight
   */
  void connectionClosed(String description);

  /** Called for a reply to an attempt, which may be settled by now. */
  void replyReceived(Attempt attempt, MetaReply reply);

  /**
   * Called for the head of a large value for an attempt, which may be settled by now.
   *
   * @return the receiver of the value, null if it is not wanted
   */
  ValueSink valueStarted(Attempt attempt, MetaReply head, ValueSource source);

  /** Reports an internal error of the program. */
  void report(String component, Throwable cause);
}
