package beamspread.record;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What every record must do, whatever database it is in. */
abstract class RecordContract {

  /** The record of this agent in the one database of the test, opened anew. */
  abstract FleetRecord open(String agent) throws Exception;

  static RecordChange.OperationBegun operation(String id, long at) {
    return new RecordChange.OperationBegun(id, "reload", "anna", "{\"a\":1}", at);
  }

  static RecordChange.StepBegun step(String operation, String instance, int attempt) {
    return new RecordChange.StepBegun(operation, instance, attempt, "reload", 7, 1000);
  }

  @Test
  void whatIsCommittedIsThereAfterReopening() throws Exception {
    try (FleetRecord record = open("a1")) {
      record.commit(
          List.of(
              operation("op1", 100),
              step("op1", "n1", 1),
              step("op1", "n2", 1),
              new RecordChange.StepIntends("op1", "n2", 1, "{\"pid\":4}"),
              new RecordChange.StepEnded("op1", "n1", 1, "succeeded", "it's ünïcode", 2000),
              new RecordChange.InstanceDesired("n1", true),
              new RecordChange.InstanceDesired("n2", false)));
    }
    try (FleetRecord record = open("a1")) {
      assertThat(record.operations(10))
          .containsExactly(
              new Rows.Operation("op1", "reload", "anna", "{\"a\":1}", 100, "begun", 0));
      assertThat(record.steps("op1"))
          .containsExactly(
              new Rows.Step(
                  "op1", "n1", 1, "reload", 7, null, 1000, "succeeded", "it's ünïcode", 2000),
              new Rows.Step("op1", "n2", 1, "reload", 7, "{\"pid\":4}", 1000, null, null, 0));
      assertThat(record.openSteps()).extracting(Rows.Step::instance).containsExactly("n2");
      assertThat(record.instances())
          .containsExactly(new Rows.Instance("n1", true), new Rows.Instance("n2", false));
      assertThat(record.operation("op2")).isEmpty();
    }
  }

  @Test
  void changesCommitTogetherOrNotAtAll() throws Exception {
    try (FleetRecord record = open("a1")) {
      RecordChange bad = new RecordChange.OperationBegun("op2", null, "anna", "{}", 1);
      assertThat(
              org.assertj.core.api.Assertions.catchThrowable(
                  () -> record.commit(List.of(operation("op1", 1), bad))))
          .isInstanceOf(RecordException.class)
          .hasMessageContaining("could not be written");
      assertThat(record.operations(10)).isEmpty();
      record.commit(List.of(operation("op3", 1)));
      assertThat(record.operation("op3")).isPresent();
    }
  }

  @Test
  void writingTwiceIsWritingOnce() throws Exception {
    try (FleetRecord record = open("a1")) {
      List<RecordChange> changes =
          List.of(
              operation("op1", 100),
              step("op1", "n1", 1),
              lease("n1", 3, "l1"),
              new RecordChange.StepEnded("op1", "n1", 1, "failed", "why", 2000),
              new RecordChange.OperationEnded("op1", "ended", 3000));
      record.commit(changes);
      var steps = record.steps("op1");
      record.commit(changes);
      assertThat(record.steps("op1")).isEqualTo(steps);
      assertThat(record.operations(10)).hasSize(1);
      assertThat(record.leases()).hasSize(1);
      assertThat(record.operation("op1").orElseThrow().endedMillis()).isEqualTo(3000);
    }
  }

  @Test
  void theFirstOutcomeOfAStepStays() throws Exception {
    try (FleetRecord record = open("a1")) {
      record.commit(List.of(operation("op1", 1), step("op1", "n1", 1)));
      record.commit(List.of(new RecordChange.StepEnded("op1", "n1", 1, "unknown", "", 5)));
      record.commit(List.of(new RecordChange.StepEnded("op1", "n1", 1, "succeeded", "", 6)));
      assertThat(record.steps("op1").get(0).outcome()).isEqualTo("unknown");
    }
  }

  private static RecordChange.LeaseTaken lease(String instance, long token, String lease) {
    return new RecordChange.LeaseTaken(instance, token, lease, "op1", "stop", "anna", 50, 9000);
  }

  @Test
  void tokensOnlyGrowAndAnOldTokenEndsNoLease() throws Exception {
    try (FleetRecord record = open("a1")) {
      assertThat(record.lastToken()).isZero();
      record.commit(List.of(lease("n1", 5, "l1")));
      record.commit(List.of(lease("n1", 8, "l2"), lease("n2", 6, "l2")));
      record.commit(List.of(new RecordChange.LeaseEnded("n1", 5)));
      assertThat(record.leases()).extracting(Rows.Lease::token).containsExactly(8L, 6L);
      record.commit(List.of(new RecordChange.LeaseEnded("n1", 8)));
      assertThat(record.leases()).extracting(Rows.Lease::instance).containsExactly("n2");
      assertThat(record.lastToken()).isEqualTo(8);
    }
    try (FleetRecord record = open("a1")) {
      assertThat(record.lastToken()).isEqualTo(8);
      assertThat(record.leases().get(0))
          .isEqualTo(new Rows.Lease("n2", 6, "l2", "op1", "stop", "anna", 50, 9000));
    }
  }

  @Test
  void startsAreCountedAndAgentsKeepApart() throws Exception {
    try (FleetRecord one = open("a1")) {
      assertThat(one.starts()).isZero();
      one.started(4);
      one.commit(List.of(operation("op1", 1), step("op1", "n1", 1), lease("n1", 5, "l1")));
    }
    try (FleetRecord two = open("a2")) {
      assertThat(two.starts()).isZero();
      assertThat(two.operations(10)).isEmpty();
      assertThat(two.openSteps()).isEmpty();
      assertThat(two.leases()).isEmpty();
      assertThat(two.lastToken()).isZero();
    }
    try (FleetRecord one = open("a1")) {
      one.started(2);
      assertThat(one.starts()).isEqualTo(4);
    }
  }

  @Test
  void onlyTheNewestEndedOperationsAreKept() throws Exception {
    try (FleetRecord record = open("a1")) {
      for (int i = 0; i < 20; i++) {
        record.commit(List.of(operation("op" + i, 100 + i), step("op" + i, "n1", 1)));
        if (i != 3) {
          record.commit(List.of(new RecordChange.OperationEnded("op" + i, "ended", 200 + i)));
        }
      }
      assertThat(record.prune(5)).isEqualTo(14);
      assertThat(record.operations(100))
          .extracting(Rows.Operation::id)
          .containsExactly("op19", "op18", "op17", "op16", "op15", "op3");
      assertThat(record.steps("op2")).isEmpty();
      assertThat(record.steps("op3")).hasSize(1);
      assertThat(record.operations(2)).hasSize(2);
    }
  }
}
