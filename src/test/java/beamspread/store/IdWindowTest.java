package beamspread.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class IdWindowTest {
  private static final long NOW = 1_800_000_000_000L;
  private final IdWindow window = new IdWindow(60_000);

  private static Write write(String id, boolean repeat) {
    return new Write(id, repeat, "key", new byte[0], 0);
  }

  private static String made(long millis) {
    String time = String.format("%012x", millis);
    return time.substring(0, 8) + "-" + time.substring(8) + "-7abc-8123-0123456789ab";
  }

  @Test
  void anIdTellsWhenItWasMadeIfItIsAUuidOfVersion7() {
    assertThat(IdWindow.madeAt(made(NOW))).hasValue(NOW);
    // The example of RFC 9562, appendix A.6: 2022-02-22 19:22:22.000 UTC.
    assertThat(IdWindow.madeAt("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")).hasValue(1645557742000L);
    assertThat(IdWindow.madeAt("017f22e2-79b0-4cc3-98c4-dc0c0c07398f")).as("version 4").isEmpty();
    assertThat(IdWindow.madeAt("9b1f03aa5c7e2d41")).isEmpty();
  }

  @Test
  void whileNothingIsForgottenWhatIsNotRememberedIsNew() {
    assertThat(window.mayBeNew(write("plain", true), NOW, 0)).isTrue();
    assertThat(window.mayBeNew(write(made(NOW - 90_000), true), NOW, 0)).isTrue();
  }

  @Test
  void onceIdsAreForgottenARetryOfThatTimeIsNotTakenForNew() {
    long forgotten = window.forgetUpTo(NOW);
    assertThat(window.mayBeNew(write(made(NOW), true), NOW, forgotten)).isTrue();
    assertThat(window.mayBeNew(write(made(NOW - 40_000), false), NOW, forgotten)).isTrue();
    assertThat(window.mayBeNew(write(made(NOW - 61_000), false), NOW, forgotten)).isFalse();
    assertThat(window.mayBeNew(write(made(NOW - 46_000), false), NOW, forgotten))
        .as("clocks may differ by a quarter of the window")
        .isFalse();
    assertThat(window.mayBeNew(write("plain", true), NOW, forgotten)).isFalse();
    assertThat(window.mayBeNew(write("plain", false), NOW, forgotten)).isTrue();
  }

  @Test
  void aClockThatGoesBackStandsStillAndAWindowOfNothingIsRefused() {
    assertThat(IdWindow.clock(NOW, NOW - 5000)).isEqualTo(NOW);
    assertThat(IdWindow.clock(NOW, NOW + 5)).isEqualTo(NOW + 5);
    assertThatThrownBy(() -> new IdWindow(10)).hasMessageContaining("at least 1 s");
  }
}
