package beamspread.fleet;

import beamspread.fleet.api.Api;

/** A call to an agent that brought nothing. */
public final class AgentCallException extends Exception {
  private static final long serialVersionUID = 1L;

  private final boolean mayHaveArrived;
  private final transient Api.Problem problem;

  AgentCallException(String message, boolean mayHaveArrived, Api.Problem problem) {
    super(message);
    this.mayHaveArrived = mayHaveArrived;
    this.problem = problem;
  }

  /** Whether the agent may have done what was asked although no answer came. */
  public boolean mayHaveArrived() {
    return mayHaveArrived;
  }

  /** What the agent answered; null if it did not. */
  public Api.Problem problem() {
    return problem;
  }

  /** Whether the agent turned the call down with this word. */
  public boolean is(String error) {
    return problem != null && problem.error().equals(error);
  }
}
