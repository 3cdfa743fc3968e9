package beamspread.node.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.ListEvidence;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a failed call shows about discovery. */
class CallFailureTest {
  @ParameterizedTest
  @CsvSource({
    // Nothing listens: unreachable.
    "NOT_THERE, 1, NONE, UNREACHABLE, UNREACHABLE",
    // A connect timeout may mean a full accept queue, so that discovery still serves others.
    "NO_CONNECTION, 800, NONE, REACHED, UNREACHABLE",
    // A call that this node could not start shows nothing about discovery.
    "NOT_MADE, 1, NONE, REACHED, ",
    // An immediate reset means that discovery is down; a later one that it is overloaded.
    "CONNECTION_LOST, 5, NONE, UNREACHABLE, UNREACHABLE",
    "CONNECTION_LOST, 2000, NONE, REACHED, REACHED",
    "ENDED, 5, NONE, UNREACHABLE, UNREACHABLE",
    "CONNECTION_LOST, 5, ANSWER_STARTED, REACHED, REACHED",
    // Any answer shows that discovery runs.
    "STATUS, 30, ANSWER_STARTED, REACHED, REACHED",
    "STATUS, 2000, ANSWER_STARTED, REACHED, REACHED",
    "MALFORMED, 5, ANSWER_STARTED, REACHED, REACHED",
    "SLOW, 4500, ANSWER_STARTED, REACHED, REACHED",
    "SILENT, 1500, ANSWER_STARTED, REACHED, REACHED",
    // An agent that pushes the list sends nothing while it has none.
    "SILENT, 2500, NONE, REACHED, UNREACHABLE",
    // An established watch that breaks shows nothing about the next call.
    "CONNECTION_LOST, 9000, LIST_RECEIVED, , ",
    "SILENT, 9000, LIST_RECEIVED, , "
  })
  void derivesEvidenceFromFailure(
      CallFailure.Kind kind,
      long millis,
      CallFailure.Progress progress,
      ListEvidence onDemand,
      ListEvidence pushed) {
    CallFailure failure = new CallFailure(kind, "", 1, millis, progress);
    assertThat(failure.evidence(false)).isEqualTo(onDemand);
    assertThat(failure.evidence(true)).isEqualTo(pushed);
  }
}
