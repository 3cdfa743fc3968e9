package beamspread.node.server;

import beamspread.node.wire.MetaCommand;

/** One send of a request to one cache server. */
public abstract class Attempt {
  /** The number that the module knows the server by. */
  public final long server;

  /** When it was sent, and when this node stops waiting for it. */
  public final long sentAt = System.nanoTime();

  public final long deadlineNanos;

  /** Whether it must not be lost with others on its connection: it can't be repeated. */
  public final boolean guarded;

  /** The connection that it was written to, null while it waits for one. */
  ServerLink link;

  long writtenAt;

  /** Whether its last byte was handed to the socket: from then on it may have run. */
  boolean written;

  /** Whether its outcome is settled; what the server says of it after that is dropped. */
  private boolean over;

  protected Attempt(long server, long deadlineNanos, boolean guarded) {
    this.server = server;
    this.deadlineNanos = deadlineNanos;
    this.guarded = guarded;
  }

  /** What is written. */
  protected abstract MetaCommand command();

  /** Whether to write it now could have an effect twice. */
  protected boolean tooLate(long now) {
    return false;
  }

  /** Whether its outcome is settled. */
  public final boolean over() {
    return over;
  }

  /** Settles its outcome; false if it was settled before. */
  public final boolean settle() {
    boolean first = !over;
    over = true;
    return first;
  }

  /** Whether it was given to a connection. */
  public final boolean sent() {
    return link != null;
  }
}
