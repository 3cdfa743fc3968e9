package beamspread.node;

import beamspread.node.client.ClientHandler;
import beamspread.node.wire.MetaCommand;
import beamspread.variants.VariantKeys;
import java.util.ArrayList;
import java.util.List;

/** A request that this node has taken, from its last byte to its final answer and last outcome. */
final class OpenRequest {
  final MetaCommand command;
  final ClientHandler.AnswerSlot slot;
  final long deadlineNanos;
  private final long takenNanos;
  final List<RequestAttempt> attempts = new ArrayList<>(1);

  /** What became of its key; null if it is as the client sent it. */
  VariantKeys.Rewrite rewrite;

  /** Attempts whose outcome the module has not been told. */
  int out;

  /** Whether the final answer is given, or the client has gone. */
  boolean ended;

  OpenRequest(
      MetaCommand command, ClientHandler.AnswerSlot slot, long takenNanos, long deadlineNanos) {
    this.takenNanos = takenNanos;
    this.command = command;
    this.slot = slot;
    this.deadlineNanos = deadlineNanos;
  }

  /** Seconds since it was taken. */
  double age() {
    return (System.nanoTime() - takenNanos) / 1e9;
  }

  String id() {
    return command.request.id();
  }
}
