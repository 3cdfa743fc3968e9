package beamspread.node;

import beamspread.node.server.Attempt;
import beamspread.node.wire.MetaCommand;
import io.netty.util.concurrent.Future;

/** One attempt of a request, with the number by which the decision module knows it. */
final class RequestAttempt extends Attempt {
  final OpenRequest request;
  final int number;

  /**
   * Value of {@code repeatableUntil} for an attempt that can't cause a second effect at any time.
   */
  static final long NO_TIME_LIMIT = Long.MIN_VALUE;

  private final long repeatableUntil;
  Future<?> timeout;

  /** Whether a server may have carried it out; false once it is proven that none has. */
  boolean mayHaveExecuted = true;

  /**
   * @param repeatableUntil the latest time at which it may be written, {@link #NO_TIME_LIMIT} for
   *     no limit
   */
  RequestAttempt(
      OpenRequest request,
      int number,
      long server,
      long deadlineNanos,
      boolean unrepeatable,
      boolean refusalNeedsProof,
      long repeatableUntil) {
    super(server, deadlineNanos, unrepeatable, refusalNeedsProof);
    this.request = request;
    this.number = number;
    this.repeatableUntil = repeatableUntil;
  }

  @Override
  protected boolean mayTakeEffectTwice(long now) {
    return repeatableUntil != NO_TIME_LIMIT && now - repeatableUntil >= 0;
  }

  @Override
  protected MetaCommand command() {
    return request.command;
  }
}
