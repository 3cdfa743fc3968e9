package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.node.tier.TierConfig;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests under which configuration a node joins its tier, and which errors prevent its start. */
class TierConfigTest {
  @TempDir Path folder;

  private NodeConfig load(String extraFields) throws WireException {
    return NodeConfig.parse(
        Message.parse(
            """
            {"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1f",%s
             "limits":{"cores":1,"memory_mb":64,"sockets":256},
             "known":{"version":1,"full":true,"servers":[]},
             "settings":{"zone":"a","azs":["a"],"kinds":["box"],"instances":2,"my-number":1,
              "discovery":"push","period":0.005,
              "caps":{"attempts-cap":6,"cancel":true,"connect-timeout":0.5,"conn-idle":60,
               "multiplex":32,"parallel-tries":true},
              "contract":{"ask-within":10,"drain-grace":2,"cold-from":0.2,
               "warm-within":10,"overload-factor":3,"overload-for":2},
              "services":[{"name":"read","slo":0.5,"give-up":1.5,"effect":"retryable"}]}}
            """
                .formatted(extraFields)));
  }

  private String tierSettings(String file, String peers) throws Exception {
    Path path = Files.writeString(folder.resolve("tier.json"), file);
    return "\"peer_listen\":\"127.0.0.1:0\",\"peers\":%s,\"tier_file\":\"%s\","
        .formatted(peers, path);
  }

  private void assertRejected(String file, String peers, String message) {
    assertThatThrownBy(() -> load(tierSettings(file, peers)))
        .isInstanceOf(WireException.class)
        .hasMessageContaining(message);
  }

  @Test
  void requiresTierFileAndPermissionForPeerTraffic() throws Exception {
    assertThat(load("").tier()).isNull();
    assertThat(load("\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:1\"],").tier())
        .isNull();
    TierConfig config =
        load(tierSettings("{\"tier\":\"t\",\"silence_s\":2}", "[\"127.0.0.1:1\",\"127.0.0.1:2\"]"))
            .tier();
    assertThat(config.number()).isEqualTo(1);
    assertThat(config.settings().silenceNanos()).isEqualTo(2_000_000_000L);
    assertThat(config.settings().intervalNanos()).isEqualTo(250_000_000L);
    assertThat(config.info().name()).isEqualTo("n1");
    assertThat(config.sharedPort()).isFalse();
    TierConfig sample =
        load(tierSettings(
                Files.readString(Path.of("deploy/tier.json")), "[\"127.0.0.1:1\",\"127.0.0.1:2\"]"))
            .tier();
    assertThat(sample.settings().name()).isEqualTo("budapest");
  }

  @Test
  void rejectsInvalidTierFileNamingTheKey() {
    String twoPeers = "[\"127.0.0.1:1\",\"127.0.0.1:2\"]";
    assertRejected("{}", twoPeers, "tier.json: ");
    assertRejected(
        "{\"tier\":\"t\",\"silense_s\":2}", twoPeers, "tier.json: unknown key 'silense_s'");
    assertRejected(
        "{\"tier\":\"t\",\"silence_s\":0.5}",
        twoPeers,
        "tier.json: silence must be at least three intervals");
    assertRejected("{\"tier\":\"t\",\"interval_s\":\"fast\"}", twoPeers, "interval_s");
    assertRejected(
        "{\"tier\":\"t\"}", "[\"127.0.0.1:1\"]", "peers: has 1 addresses and none for number 1");
    assertRejected(
        "{\"tier\":\"t\"}", "[\"127.0.0.1:1\",\"here\"]", "peers: 'here' is not an IP address");
    assertThatThrownBy(() -> load("\"tier_file\":\"none.json\","))
        .hasMessageContaining("tier_file: nodes may not talk here");
  }
}
