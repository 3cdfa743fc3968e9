package beamspread.node.server;

import beamspread.node.wire.MetaCommand;

/** One attempt to send a request to one cache server. */
public abstract class Attempt {
  /** The server's number in the decision module. */
  public final long server;

  /** When it was sent and when this node stops waiting for it, by {@link System#nanoTime}. */
  public final long sentAt = System.nanoTime();

  public final long deadlineNanos;

  /** Whether it can't be repeated, so that it must not be lost with others on its connection. */
  public final boolean unrepeatable;

  /**
   * Whether the request may be sent again only if it is proven that this attempt has not run and is
   * no longer in flight, so that a reply without an id needs proof that it is the answer.
   */
  public final boolean refusalNeedsProof;

  /** The connection that it was assigned to, null while it waits for one. */
  ServerConnection connection;

  long writtenAt;

  /** Whether its last byte was passed to the socket; from then on it may have run. */
  boolean fullyWritten;

  /** Whether its outcome is settled; a later reply is dropped. */
  private boolean settled;

  protected Attempt(
      long server, long deadlineNanos, boolean unrepeatable, boolean refusalNeedsProof) {
    this.server = server;
    this.deadlineNanos = deadlineNanos;
    this.unrepeatable = unrepeatable;
    this.refusalNeedsProof = refusalNeedsProof;
  }

  /** Returns the command to write. */
  protected abstract MetaCommand command();

  /** Returns whether writing it now could take effect twice. */
  protected boolean mayTakeEffectTwice(long now) {
    return false;
  }

  /** Returns whether its outcome is settled. */
  public final boolean isSettled() {
    return settled;
  }

  /** Settles its outcome; returns false if it was settled before. */
  public final boolean settle() {
    boolean first = !settled;
    settled = true;
    return first;
  }

  /** Returns whether it was assigned to a connection. */
  public final boolean hasConnection() {
    return connection != null;
  }
}
