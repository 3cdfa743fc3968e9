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

/** The operators' file of bounds on connections to cache servers. */
class PoolPlanTest {
  private static final Settings SETTINGS =
      Peers.settings(new Settings.Limits(6, true, true, false, false, false, 1, 2, 60, 32, 20000));

  private static PoolSettings read(String json) throws WireException {
    return PoolPlan.of(SETTINGS, 256, json == null ? null : Message.parse(json));
  }

  private static void assertFault(String json, String... words) {
    assertThatThrownBy(() -> read(json)).hasMessageContainingAll(words);
  }

  @Test
  void acceptsSampleFileAndUsesDefaultsWithoutFile() throws Exception {
    PoolSettings sample = read(Files.readString(Path.of("deploy/pool.json")));
    assertThat(sample.spareConnections()).isEqualTo(1);
    assertThat(sample.idleTimeoutNanos()).isEqualTo(20_000_000_000L);
    PoolSettings defaults = read(null);
    assertThat(defaults.connectionsPerServer()).isEqualTo(6);
    assertThat(defaults.spareConnections()).isZero();
    assertThat(defaults.freePerServer()).as("12 over a tier of two").isEqualTo(6);
    assertThat(read("{\"free_each\":0.25}").freePerServer()).isEqualTo(0.25);
    assertThat(defaults.maxSockets()).isEqualTo(80);
    assertThat(read("{}")).isEqualTo(defaults);
    assertThat(PoolPlan.of(SETTINGS, 64, null).freePerServer()).as("few descriptors").isEqualTo(6);
  }

  @Test
  void idleTimeIsHalfOfServersEvenWhenShort() throws Exception {
    Settings closesSoon =
        Peers.settings(
            new Settings.Limits(6, true, true, false, false, false, 1, 2, 0.8, 32, 20000));
    assertThat(PoolPlan.of(closesSoon, 256, null).idleTimeoutNanos()).isEqualTo(400_000_000L);
  }

  @Test
  void namesEveryFault() {
    assertFault("{\"connections\":0}", "connections must be at least 1");
    assertFault("{\"free_each\":0}", "free_each must be above 0");
    assertFault("{\"leaving\":-1}", "leaving must not be negative");
    assertFault("{\"idle_s\":61}", "idle_s must be 60 at most here, is 61");
    assertFault("{\"depth\":33}", "depth must be 32 at most");
    assertFault("{\"connections\":1.5}", "connections must be a whole number");
    assertFault("{\"spare\":\"one\"}", "spare is not a number");
    assertFault("{\"idel_s\":1,\"connections\":-2}", "unknown key 'idel_s'", "connections must be");
    assertFault("{\"connections\":2,\"spare\":2}", "spare must be under connections, which is 2");
    assertFault("{\"connections\":81}", "connections must be 80 at most");
  }
}
