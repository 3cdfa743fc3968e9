package beamspread.node;

import io.netty.util.concurrent.Future;

/** One send of a request to one cache server. */
final class Attempt {
  final OpenRequest request;
  final int number;
  final long server;
  final long sentAt = System.nanoTime();

  /** When this node stops waiting for it. */
  final long deadlineNanos;

  Future<?> timeout;

  /** The connection that it was written to, null while it waits for one. */
  ServerConnection connection;

  /** Whether its last byte was handed to the socket: from then on it may have run. */
  boolean written;

  /** Whether its outcome is settled; what the server says of it after that is dropped. */
  boolean over;

  Attempt(OpenRequest request, int number, long server, long deadlineNanos) {
    this.request = request;
    this.number = number;
    this.server = server;
    this.deadlineNanos = deadlineNanos;
  }
}
