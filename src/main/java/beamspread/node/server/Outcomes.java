package beamspread.node.server;

import beamspread.model.Outcome;
import beamspread.node.wire.MetaReply;

/** Who is told what has come of attempts. */
public interface Outcomes {
  /**
   * Whether anybody still waits for an attempt that is about to begin: its request has no final
   * answer, and its client is there.
   */
  boolean wanted(Attempt attempt);

  /** An attempt was written in full: from now on it may have run. */
  void written(Attempt attempt);

  /** An attempt ended without an answer, or with one that serves nobody. */
  void ended(Attempt attempt, Outcome.Result result);

  /** A reply has come to an attempt, which may be over by now. */
  void replied(Attempt attempt, MetaReply reply);

  /**
   * The head of a large value has come to an attempt, which may be over by now.
   *
   * @return where the value goes, null if nobody wants it
   */
  ValueSink begun(Attempt attempt, MetaReply head, ValueSource source);

  /** Tells of a fault of the program itself. */
  void report(String where, Throwable cause);
}
