package beamspread.agent;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import beamspread.record.Rows;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.UnaryOperator;

/** Operations as the API tells them, from the record alone. */
final class OperationViews {
  private final RecordKeeper keeper;
  private final String agent;
  private final UnaryOperator<String> heldBack;

  /**
   * @param heldBack by an instance's name, why the end of its step is not on record yet; null if
   *     nothing keeps it. Asked from another thread, for people only: a stale value does no harm.
   */
  OperationViews(RecordKeeper keeper, String agent, UnaryOperator<String> heldBack) {
    this.keeper = keeper;
    this.agent = agent;
    this.heldBack = heldBack;
  }

  /** What of an operation is on record, and nothing else: what is not on record is not told. */
  CompletableFuture<Api.OperationView> read(String id) {
    return keeper
        .read(
            record -> {
              Rows.Operation row = record.operation(id).orElse(null);
              return row == null ? null : view(row, record.steps(id));
            })
        .handle(
            (view, failure) -> {
              if (failure != null) {
                throw new CompletionException(new Refusal(503, "record", failure.getMessage()));
              }
              if (view == null) {
                throw new CompletionException(
                    new Refusal(
                        404,
                        "unknown_operation",
                        "agent " + agent + " has no operation '" + id + "' on record"));
              }
              return view;
            });
  }

  CompletableFuture<Api.Operations> operations(int most) {
    return keeper
        .read(
            record -> {
              List<Api.OperationView> views = new ArrayList<>();
              for (Rows.Operation row : record.operations(most)) {
                views.add(view(row, record.steps(row.id())));
              }
              return new Api.Operations(views);
            })
        .handle(
            (operations, failure) -> {
              if (failure != null) {
                throw new CompletionException(new Refusal(503, "record", failure.getMessage()));
              }
              return operations;
            });
  }

  private Api.OperationView view(Rows.Operation row, Collection<Rows.Step> steps) {
    JsonNode plan;
    try {
      plan = Json.readTree(row.plan());
    } catch (Json.BadJsonException e) {
      plan = null;
    }
    return new Api.OperationView(
        row.id(),
        Kind.of(row.kind()),
        row.by(),
        plan,
        row.state(),
        row.beganMillis(),
        row.endedMillis(),
        steps.stream()
            .map(
                step ->
                    new Api.StepView(
                        step.instance(),
                        step.attempt(),
                        Kind.of(step.kind()),
                        step.outcome() == null ? null : Outcome.of(step.outcome()),
                        step.outcome() == null ? heldBack.apply(step.instance()) : step.reason(),
                        step.beganMillis(),
                        step.endedMillis()))
            .toList());
  }
}
