package beamspread.agent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import beamspread.fleet.Inventory;
import beamspread.fleet.config.TomlFaults;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Files of agents and inventories: taken whole, or refused with every fault named. */
class AgentConfigTest {
  @TempDir Path folder;

  private TomlFaults agentFaults(String text) throws IOException {
    Path file = folder.resolve("agent.toml");
    Files.writeString(file, text);
    return catchThrowableOfType(TomlFaults.class, () -> AgentConfigReader.read(file));
  }

  @Test
  void theFilesOfTheRepositoryAreGood() throws Exception {
    AgentConfig config = AgentConfigReader.read(Path.of("deploy/agent.toml"));
    assertThat(config.instances()).isNotEmpty();
    assertThat(Inventory.read(Path.of("deploy/fleet.toml")).agents()).isNotEmpty();
  }

  @Test
  void allFaultsAreNamedInOneGoWithLineAndKey() throws Exception {
    TomlFaults faults =
        agentFaults(
            """
            name = "a 1"
            colour = "red"
            [api]
            listen = "10.1.2.3:7400"
            [record]
            keep = 0
            [[instance]]
            name = "n1"
            command = ["x", 3]
            start_s = "soon"
            restarts = -1
            [[instance]]
            name = "n1"
            autostart = "yes"
            env = {A = 1}
            limits = {descriptors = 2, memory = 3}
            backoff_first_s = 60
            """);
    String at = folder.resolve("agent.toml") + ":";
    assertThat(faults.faults())
        .containsExactlyInAnyOrder(
            at + "1: name: 'a 1' is no name: letters, digits, '.', '_' and '-', at most 63",
            at + "2: colour: unknown key",
            at
                + "4: api.listen: beyond loopback a token_file, a tls_certificate and a tls_key are"
                + " needed: 10.1.2.3:7400",
            at + "6: record.keep: must be 1 to 100000, is 0",
            at + "9: instance[1].command: entry 2 is not a text",
            at + "10: instance[1].start_s: a number of seconds is needed",
            at + "11: instance[1].restarts: must be 0 to 1000, is -1",
            at + "13: instance[2].name: 'n1' stands twice, first at line 7",
            at + "12: instance[2].command: is missing, here and in the defaults",
            at + "14: instance[2].autostart: true or false is needed",
            at + "15: instance[2].env.A: a text is needed",
            at + "16: instance[2].limits.descriptors: must be 16 to 1048576, is 2",
            at + "16: instance[2].limits.memory: unknown key",
            at + "17: instance[2].backoff_first_s: is longer than backoff_longest_s");
  }

  @Test
  void aFileCutShortAndOneThatIsMissingAreRefused() throws Exception {
    assertThat(agentFaults("name = \"a1\"\n[[instance]]\nname = \"n").faults())
        .singleElement()
        .asString()
        .startsWith(folder.resolve("agent.toml") + ":3: ");
    assertThat(
            catchThrowableOfType(
                TomlFaults.class, () -> AgentConfigReader.read(folder.resolve("none.toml"))))
        .hasMessageContaining("none.toml: cannot be read: no such file");
  }

  @Test
  void defaultsHoldWhereAnInstanceSaysNothing() throws Exception {
    Path file = folder.resolve("agent.toml");
    Files.writeString(
        file,
        """
        name = "a1"
        [defaults]
        command = ["run", "it"]
        zone = "east"
        stop_s = 2.5
        env = {A = "1", B = "2"}
        limits = {descriptors = 512}
        [[instance]]
        name = "n1"
        [[instance]]
        name = "n2"
        zone = "west"
        command = ["other"]
        stop_s = 4
        env = {B = "3"}
        limits = {}
        """);
    AgentConfig config = AgentConfigReader.read(file);
    AgentConfig.Instance one = config.instances().get(0);
    AgentConfig.Instance two = config.instances().get(1);
    assertThat(one.command()).containsExactly("run", "it");
    assertThat(one.zone()).isEqualTo("east");
    assertThat(one.timing().stop()).isEqualTo(2_500_000_000L);
    assertThat(one.stopFixed()).isTrue();
    assertThat(one.descriptors()).isEqualTo(512);
    assertThat(two.zone()).isEqualTo("west");
    assertThat(two.command()).containsExactly("other");
    assertThat(two.timing().stop()).isEqualTo(4_000_000_000L);
    assertThat(two.environment()).containsEntry("A", "1").containsEntry("B", "3");
    assertThat(two.descriptors()).isZero();
    assertThat(config.record().file()).isEqualTo(folder.resolve("agent/record.db"));
    assertThat(config.api().port()).isEqualTo(7400);
  }

  @Test
  void anInventoryHalfWrittenOrWithTwoOfAKindIsRefused() throws Exception {
    Path file = folder.resolve("fleet.toml");
    Files.writeString(
        file,
        """
        patience_s = -1
        [[agent]]
        name = "a1"
        url = "http://127.0.0.1:1"
        [[agent]]
        name = "a1"
        url = "ftp://127.0.0.1:1"
        ca_file = "none.pem"
        """);
    String at = file + ":";
    assertThat(catchThrowableOfType(TomlFaults.class, () -> Inventory.read(file)).faults())
        .containsExactlyInAnyOrder(
            at + "1: patience_s: must be 0.0 to 3600.0 seconds, is -1.0",
            at + "6: agent[2].name: 'a1' stands twice, first at line 2",
            at + "7: agent[2].url: 'ftp://127.0.0.1:1' is no http:// or https:// address",
            at + "8: agent[2].ca_file: " + folder.resolve("none.pem") + " cannot be read");
    Files.writeString(file, "[[agent]]\nname = \"a1\"\nurl = \"htt");
    assertThat(catchThrowableOfType(TomlFaults.class, () -> Inventory.read(file)).faults())
        .singleElement()
        .asString()
        .startsWith(at + "3: ");
    Files.writeString(file, "");
    assertThat(catchThrowableOfType(TomlFaults.class, () -> Inventory.read(file)))
        .hasMessageContaining("no [[agent]] is named");
  }
}
