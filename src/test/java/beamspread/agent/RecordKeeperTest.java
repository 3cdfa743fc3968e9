package beamspread.agent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.record.FleetRecord;
import beamspread.record.RecordChange;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against a record whose thread ends in silence, so that calls never end (incident 0003).
 */
class RecordKeeperTest {
  /** Returns a record whose commits fail with an unchecked exception. */
  private static FleetRecord brokenRecord() {
    return (FleetRecord)
        Proxy.newProxyInstance(
            FleetRecord.class.getClassLoader(),
            new Class<?>[] {FleetRecord.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("commit")) {
                throw new IllegalStateException("no connection");
              }
              return null;
            });
  }

  @Test
  void answersEveryWriteAfterAnUncheckedFailure() {
    try (RecordKeeper keeper = new RecordKeeper(brokenRecord(), 10)) {
      for (int i = 0; i < 2; i++) {
        assertThatThrownBy(
                () ->
                    keeper
                        .write(List.of(new RecordChange.OperationEnded("op", "done", 0)))
                        .get(10, TimeUnit.SECONDS))
            .isInstanceOf(ExecutionException.class)
            .hasMessageContaining("no connection");
      }
      assertThat(keeper.trouble()).contains("no connection");
    }
  }
}
