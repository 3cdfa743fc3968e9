package beamspread.node;

import beamspread.node.server.Attempt;
import beamspread.node.wire.MetaCommand;
import io.netty.util.concurrent.Future;

/** One send of a request, with what the module knows it by. */
final class RequestAttempt extends Attempt {
  final OpenRequest request;
  final int number;

  /** For {@code repeatableUntil}: nothing it does can be done twice by it. */
  static final long ANY_TIME = Long.MIN_VALUE;

  private final long repeatableUntil;
  Future<?> timeout;

  /** Whether it is not proven that no server has carried it out. */
  boolean mayHaveRun = true;

  /**
   * @param repeatableUntil when it may be written at the latest, {@link #ANY_TIME} for no such time
   */
  RequestAttempt(
      OpenRequest request,
      int number,
      long server,
      long deadlineNanos,
      boolean guarded,
      long repeatableUntil) {
    super(server, deadlineNanos, guarded);
    this.request = request;
    this.number = number;
    this.repeatableUntil = repeatableUntil;
  }

  @Override
  protected boolean mayTakeEffectTwice(long now) {
    return repeatableUntil != ANY_TIME && now - repeatableUntil >= 0;
  }

  @Override
  protected MetaCommand command() {
    return request.command;
  }
}
