package beamspread.cli;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.fleet.api.Json;
import beamspread.lease.LeaseStore;
import beamspread.record.JdbcLeases;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The commands about leases, and the inventory's table of them, as a script sees them. */
class LeaseCommandTest {
  private static final String AGENT = "[[agent]]\nname = \"a1\"\nurl = \"http://127.0.0.1:1\"\n";
  private static final String NAME = "rollout/main";

  @TempDir Path folder;
  private Path inventory;
  private String out;
  private String err;

  @BeforeEach
  void writeInventory() throws IOException {
    inventory = folder.resolve("fleet.toml");
    lease("file = \"leases.db\"\n");
  }

  private void lease(String table) throws IOException {
    Files.writeString(inventory, AGENT + "[lease]\n" + table);
  }

  private int run(String... words) {
    CommandRun run = CommandRun.with(inventory, words);
    out = run.out();
    err = run.err();
    return run.code();
  }

  private LeaseStore store() throws Exception {
    return JdbcLeases.sqlite(folder.resolve("leases.db"));
  }

  @Test
  void leasesAreListedShownReleasedAndRaised() throws Exception {
    assertThat(run("lease", "list")).as(err).isZero();
    assertThat(out.lines()).hasSize(1);
    try (LeaseStore store = store()) {
      store.acquire(NAME, "s1", "anna@desk", 60_000, false);
    }
    assertThat(run("lease", "list")).isZero();
    assertThat(out).contains(NAME, "anna@desk", " 1 ");
    assertThat(run("lease", "-o", "json", "show", NAME)).isZero();
    JsonNode shown = Json.readTree(out).get(0);
    assertThat(shown.path("epoch").asLong()).isEqualTo(1);
    assertThat(shown.path("described").asText()).isEqualTo("anna@desk");
    assertThat(run("lease", "show", "no/such")).isEqualTo(1);
    assertThat(err).contains("there is no lease 'no/such'");
    assertThat(run("lease", "release", NAME, "--token", "1")).isEqualTo(2);
    assertThat(run("lease", "release", NAME, "--token", "2", "--yes")).isEqualTo(1);
    assertThat(err).contains("nobody holds rollout/main with token 2");
    assertThat(run("lease", "release", NAME, "--token", "1", "--yes")).isZero();
    assertThat(run("lease", "raise", NAME, "--token", "40", "--yes")).isZero();
    try (LeaseStore store = store()) {
      assertThat(store.acquire(NAME, "s2", "bela", 60_000, false).epoch()).isEqualTo(41);
    }
  }

  @Test
  void whatMakesNoSenseIsRefusedInWords() throws Exception {
    assertThat(run("lease", "release", NAME, "--token", "0", "--yes")).isEqualTo(2);
    assertThat(err).contains("--token must be 1 or more, is 0");
    assertThat(run("lease", "release", NAME, "--token", "seven", "--yes")).isEqualTo(2);
    assertThat(run("lease", "show", "a b")).isEqualTo(2);
    assertThat(err).contains("'a b' is no name of a lease");
    assertThat(run("lease", "raise", NAME, "--token", "3")).isEqualTo(2);
    assertThat(Files.exists(folder.resolve("leases.db"))).isTrue();
    try (LeaseStore store = store()) {
      assertThat(store.all()).isEmpty();
    }
    Files.writeString(inventory, AGENT);
    assertThat(run("lease", "list")).isEqualTo(2);
    assertThat(err).contains("has no [lease]");
    assertThat(run("fleet", "reload", "--all", "--wait")).isEqualTo(2);
  }

  @Test
  void eachFaultOfTheTableIsNamedWithItsLine() throws Exception {
    lease("duration_s = 0.5\nfleet = \"a b\"\nfile = \"x\"\nurl = \"http://db\"\ncolour = 1\n");
    assertThat(run("lease", "list")).isEqualTo(2);
    assertThat(err)
        .contains(
            inventory + ":5: lease.duration_s: must be 1.0 to 3600.0 seconds",
            inventory + ":6: lease.fleet: 'a b'",
            "lease.file: either a file or a url is needed",
            inventory + ":8: lease.url: 'http://db' is no jdbc:postgresql: address",
            "lease.password_file: is missing",
            inventory + ":9: lease.colour: unknown key");
    lease("fleet = \"main\"\n");
    assertThat(run("lease", "list")).isEqualTo(2);
    assertThat(err).contains("either a file or a url is needed");
  }
}
