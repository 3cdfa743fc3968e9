package beamspread.agent;

import beamspread.fleet.api.Api;
import java.util.List;

/** A call that is turned down, with nothing begun. */
final class Refusal extends Exception {
  private static final long serialVersionUID = 1L;

  final int status;
  final transient Api.Problem problem;

  Refusal(int status, String error, String message) {
    this(status, error, message, List.of());
  }

  Refusal(int status, String error, String message, List<Api.Holder> holders) {
    super(message);
    this.status = status;
    this.problem = new Api.Problem(error, message, holders);
  }
}
