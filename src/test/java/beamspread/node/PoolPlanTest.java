package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.model.Settings;
import beamspread.pool.PoolSettings;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The operators' file on connections to cache servers. */
class PoolPlanTest {
  private static final Settings SETTINGS =
      Peers.settings(new Settings.Limits(6, true, true, false, false, false, 1, 2, 60, 32, 20000));

  private static PoolSettings read(String json) throws WireException {
    return PoolPlan.of(SETTINGS, 256, json == null ? null : Message.parse(json));
  }

  private static void fault(String json, String... words) {
    assertThatThrownBy(() -> read(json)).hasMessageContainingAll(words);
  }

  @Test
  void theSampleIsGoodAndAnAbsentFileMeansThePlatformsOwnFigures() throws Exception {
    PoolSettings sample = read(Files.readString(Path.of("deploy/pool.json")));
    assertThat(sample.spareConnections()).isEqualTo(1);
    assertThat(sample.idleTimeoutNanos()).isEqualTo(20_000_000_000L);
    PoolSettings own = read(null);
    assertThat(own.connectionsPerServer()).isEqualTo(6);
    assertThat(own.spareConnections()).isZero();
    assertThat(own.freePerServer()).as("12 over a tier of two").isEqualTo(6);
    assertThat(read("{\"free_each\":0.25}").freePerServer()).isEqualTo(0.25);
    assertThat(own.maxSockets()).isEqualTo(80);
    assertThat(read("{}")).isEqualTo(own);
    assertThat(PoolPlan.of(SETTINGS, 64, null).freePerServer()).as("few descriptors").isEqualTo(6);
  }

  @Test
  void connectionsRestForHalfOfWhatServersKeepThemHoweverLittleThatIs() throws Exception {
    Settings closesSoon =
        Peers.settings(
            new Settings.Limits(6, true, true, false, false, false, 1, 2, 0.8, 32, 20000));
    assertThat(PoolPlan.of(closesSoon, 256, null).idleTimeoutNanos()).isEqualTo(400_000_000L);
  }

  @Test
  void everyFaultIsNamed() {
    fault("{\"connections\":0}", "connections must be at least 1");
    fault("{\"free_each\":0}", "free_each must be above 0");
    fault("{\"leaving\":-1}", "leaving must not be negative");
    fault("{\"idle_s\":61}", "idle_s must be 60 at most here, is 61");
    fault("{\"depth\":33}", "depth must be 32 at most");
    fault("{\"connections\":1.5}", "connections must be a whole number");
    fault("{\"spare\":\"one\"}", "spare is no number");
    fault("{\"idel_s\":1,\"connections\":-2}", "unknown key 'idel_s'", "connections must be");
    fault("{\"connections\":2,\"spare\":2}", "spare must be under connections, which is 2");
    fault("{\"connections\":81}", "connections must be 80 at most");
  }
}
