package beamspread.node.server;

import beamspread.node.wire.MetaReply;

/**
 * A refusal that may be the answer to an attempt that must not be repeated.
 *
 * @param receivedAt by {@link System#nanoTime}
 */
record Refusal(Attempt attempt, MetaReply line, long receivedAt) {
  /** How soon after a refusal a server closes a connection that it does not want to keep. */
  static final long CLOSE_NANOS = 5_000_000L;

  /** Returns whether an orderly close at this time belongs to the refusal. */
  boolean isFollowedByCloseAt(long now) {
    return now - receivedAt <= CLOSE_NANOS;
  }
}
