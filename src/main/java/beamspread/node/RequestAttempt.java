package beamspread.node;

import beamspread.node.server.Attempt;
import beamspread.node.wire.MetaCommand;
import io.netty.util.concurrent.Future;

/** One send of a request, with what the module knows it by. */
final class RequestAttempt extends Attempt {
  final OpenRequest request;
  final int number;
  Future<?> timeout;

  RequestAttempt(
      OpenRequest request, int number, long server, long deadlineNanos, boolean guarded) {
    super(server, deadlineNanos, guarded);
    this.request = request;
    this.number = number;
  }

  @Override
  protected MetaCommand command() {
    return request.command;
  }

  @Override
  protected boolean requestEnded() {
    return request.ended;
  }
}
