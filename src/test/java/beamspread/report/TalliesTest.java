package beamspread.report;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.maintenance.Tally;
import beamspread.model.Outcome;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What nodes write of their seconds, and what the tier's sums are. */
class TalliesTest {
  private static String second(long at, int reads, long server) {
    Tally tally = new Tally();
    for (int i = 0; i < reads; i++) {
      tally.requestAccepted(false);
      tally.attemptSent(true, i * 0.1);
      tally.attemptEnded(
          new Outcome(
              "r" + i,
              0,
              server,
              i == 0 ? Outcome.Result.CONNECT_FAILED : Outcome.Result.OK,
              0.2,
              false,
              i == 1 ? Outcome.Note.MISS : Outcome.Note.HIT,
              null),
          false);
    }
    tally.requestServed(false, true);
    tally.requestRefused(true);
    return tally.nextLine(at, new Tally.Gauges(1, 2, 3, 4, 5, 6));
  }

  @Test
  void linesOfManyNodesAreAddedUpBySecondNodeAndServer(@TempDir Path folder) throws Exception {
    Files.writeString(
        folder.resolve("n1.log"),
        "0.1 started\n1.0 " + second(5_100, 3, 0xa) + "\n2.0 " + second(6_100, 1, 0xa) + "\n");
    String whole = second(5_900, 2, 0xb);
    Files.writeString(
        folder.resolve("n2.log"),
        whole + "\n" + whole.substring(0, whole.length() / 2) + "\n" + whole.replace("=2", "=x"));
    Tallies tallies = Tallies.read(List.of(folder));

    assertThat(tallies.lines()).isEqualTo(3);
    assertThat(tallies.unreadable()).isEqualTo(2);
    assertThat(tallies.bySecond().keySet()).containsExactly(5L, 6L);
    assertThat(tallies.bySecond().get(5L))
        .containsEntry("lines", 2L)
        .containsEntry("reads", 5L)
        .containsEntry("tries", 5L)
        .containsEntry("held", 3L)
        .containsEntry("held_ms", 400L)
        .containsEntry("hits", 1L)
        .containsEntry("misses", 2L)
        .containsEntry("miss_ms", 400L)
        .containsEntry("reads_late", 2L)
        .containsEntry("unsent", 2L)
        .containsEntry("end_connect_failed", 2L)
        .containsEntry("links", 8L)
        .containsEntry("turned_down", 12L);
    assertThat(tallies.byNode().get("n1")).containsEntry("reads", 4L).containsEntry("links", 4L);
    assertThat(tallies.byServer().toString()).isEqualTo("[a=2, b=1]");
    assertThat(tallies.whole()).containsEntry("reads", 6L).containsEntry("lines", 3L);
  }

  @Test
  void aSecondBeginsWithNothing() {
    Tally tally = new Tally();
    tally.requestAccepted(true);
    tally.requestFailed();
    Tally.Gauges gauges = new Tally.Gauges(0, 0, 0, 0, 7, 1);
    assertThat(tally.nextLine(1, gauges)).contains(" writes=1 ").contains(" failed=1 ");
    assertThat(tally.nextLine(2, gauges))
        .contains(" writes=0 ")
        .contains(" failed=0 ")
        .contains(" opened=0 ")
        .endsWith(" turned_down=0");
  }
}
