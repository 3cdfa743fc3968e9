package beamspread.cli;

import beamspread.fleet.Unreachable;
import java.util.List;

/** Nothing that was meant is known, and agents that might know it gave no answer. */
final class AwayException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<Unreachable> unreachable;

  AwayException(String message, List<Unreachable> unreachable) {
    super(message);
    this.unreachable = unreachable;
  }

  List<Unreachable> unreachable() {
    return unreachable;
  }
}
