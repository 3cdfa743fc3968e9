package beamspread.node;

import beamspread.node.client.ClientHandler;
import beamspread.node.handover.IdClaim;
import beamspread.node.handover.RequestIds;
import beamspread.node.wire.MetaCommand;
import beamspread.variants.VariantKeys;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that this node has received, kept until it has its final answer and the outcomes of all
 * its attempts.
 */
final class OpenRequest {
  final MetaCommand command;
  final ClientHandler.AnswerSlot slot;
  final long deadlineNanos;
  private final long receivedNanos;
  final List<RequestAttempt> attempts = new ArrayList<>(1);

  /** The rewrite of its key to a canonical one; null if the key is as the client sent it. */
  VariantKeys.Rewrite keyRewrite;

  /** Number of attempts whose outcome the decision module has not received. */
  int attemptsInFlight;

  /** Whether the final answer was given or the client has disconnected. */
  boolean ended;

  /** The claim of its id in all processes of this node. */
  IdClaim idClaim = RequestIds.OF_ONE_PROCESS.claim(0, 0, true);

  /** Whether the claim outlasts the request, since its effect may still come. */
  boolean keepsId;

  OpenRequest(
      MetaCommand command, ClientHandler.AnswerSlot slot, long receivedNanos, long deadlineNanos) {
    this.receivedNanos = receivedNanos;
    this.command = command;
    this.slot = slot;
    this.deadlineNanos = deadlineNanos;
  }

  /** Returns the seconds since it was received. */
  double ageSeconds() {
    return (System.nanoTime() - receivedNanos) / 1e9;
  }

  /** Returns whether a server may have run it: an attempt was assigned to a connection. */
  boolean mayHaveRun() {
    return attempts.stream()
        .anyMatch(attempt -> attempt.hasConnection() && attempt.mayHaveExecuted);
  }

  /** Returns whether a server may have carried out an effect that must not be repeated. */
  boolean mayHaveTakenEffect() {
    return mayHaveRun() && attempts.stream().anyMatch(attempt -> attempt.unrepeatable);
  }

  String id() {
    return command.request.id();
  }
}
