package beamspread.cli;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.agent.Agent;
import beamspread.fleet.Fleet;
import beamspread.fleet.VariantPublisher;
import beamspread.fleet.WorkLease;
import beamspread.fleet.api.Json;
import beamspread.lease.FencingToken;
import beamspread.node.variants.VariantFileReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The commands about variant keys, as a script sees them. */
class VariantsCommandTest {
  private static final String RULES =
      """
      {"fleet":"main","rules":[
       {"prefix":"page/","separator":"/","field":0,"classes":["phone","tablet","watch"],
        "requests":["read"],"max_age_s":60,"same":["phone+tablet"]}]}
      """;

  private Scratch scratch;
  private Agent agent;
  private Path inventory;
  private Path rules;
  private long token = 5;
  private String out;
  private String err;

  @BeforeEach
  void startAgent() throws Exception {
    scratch = new Scratch();
    agent = scratch.agent("agent-1", 0, 0, i -> "");
    inventory = scratch.folder().resolve("inventory.toml");
    rules = Files.writeString(scratch.folder().resolve("variants.json"), RULES);
    Files.writeString(inventory, "[[agent]]\nname = \"agent-1\"\nurl = \"" + agent.url() + "\"\n");
  }

  @AfterEach
  void end() {
    scratch.close();
  }

  private int run(String... words) {
    CommandRun run = CommandRun.with(inventory, words);
    out = run.out();
    err = run.err();
    return run.code();
  }

  private void publish() throws Exception {
    WorkLease lease = WorkLease.of(new FencingToken("variants/main", token++));
    try (Fleet fleet = scratch.fleet(List.of(agent))) {
      assertThat(new VariantPublisher(fleet, lease, VariantFileReader.read(RULES)).round().taken())
          .isEqualTo(1);
    }
  }

  private int explain(String key, String requestClass) {
    return run("variants", "explain", key, "--class", requestClass, "--file", rules.toString());
  }

  @Test
  void aKeyIsExplainedByTheTableInForce() throws Exception {
    assertThat(explain("page/tablet/1", "read")).as(err).isEqualTo(1);
    assertThat(out).contains("agent agent-1 holds no table");
    publish();
    assertThat(explain("page/tablet/1", "read")).as(err).isZero();
    assertThat(out).contains("page/tablet/1 is asked for as page/phone/1");
    assertThat(explain("page/watch/1", "read")).isEqualTo(1);
    assertThat(out).contains("its class is in no set of table 5.1");
    assertThat(explain("page/fridge/1", "read")).isEqualTo(1);
    assertThat(out).contains("finds none of its classes in it");
    assertThat(explain("page/tablet/1", "put")).isEqualTo(1);
    assertThat(out).contains("is not for requests of class put");
    assertThat(explain("list/tablet/1", "read")).isEqualTo(1);
    assertThat(out).contains("no rule in use has a prefix of it");
  }

  @Test
  void statusShowsWhatAgentsHold() throws Exception {
    publish();
    assertThat(run("variants", "status")).as(err).isZero();
    assertThat(out).contains("agent-1", "5.1", "page/", "phone", "tablet");
    assertThat(run("variants", "-o", "json", "status")).isZero();
    assertThat(Json.readTree(out).get(0).path("version").asText()).isEqualTo("5.1");
    Files.writeString(inventory, "[[agent]]\nname = \"agent-1\"\nurl = \"http://127.0.0.1:1\"\n");
    assertThat(run("variants", "status")).isEqualTo(3);
    assertThat(err).contains("agent-1");
  }

  @Test
  void aFamilyIsSplitByHandUntilItIsAllowed() throws Exception {
    publish();
    assertThat(run("variants", "split", "page/")).as(err).isZero();
    assertThat(out).contains("page/ is kept split");
    assertThat(err).isEmpty();
    assertThat(run("variants", "split", "pag/")).as(err).isZero();
    assertThat(err).contains("no table in force has a family pag/");
    assertThat(run("variants", "allow", "pag/")).as(err).isZero();
    assertThat(explain("page/watch/1", "read")).isEqualTo(1);
    assertThat(out).contains("operators keep page/ split");
    publish();
    assertThat(run("variants", "status")).as(err).isZero();
    assertThat(out).contains("[page/]").doesNotContain("tablet");
    assertThat(run("variants", "-o", "json", "allow", "page/")).as(err).isZero();
    assertThat(Json.readTree(out).get(0).path("kept")).isEmpty();
    assertThat(run("variants", "split", "two words")).isEqualTo(3);
    assertThat(err).contains("family must have 1 to 200 visible letters");
    Files.writeString(inventory, "[[agent]]\nname = \"agent-1\"\nurl = \"http://127.0.0.1:1\"\n");
    assertThat(run("variants", "allow", "page/")).isEqualTo(3);
    assertThat(err).contains("agent agent-1 cannot be reached");
  }

  @Test
  void aWrongFileIsOneErrorThatNamesThePlace() throws IOException {
    assertThat(run("variants", "check", rules.toString())).as(err).isZero();
    assertThat(out).contains("1 rules, 1 families");
    Files.writeString(rules, RULES.replace("\"field\":0,", ""));
    assertThat(run("variants", "check", rules.toString())).isEqualTo(2);
    assertThat(err).contains(rules + ": rules[0].either a field or a name");
    assertThat(run("variants", "check", "no/such/file")).isEqualTo(2);
    assertThat(err).contains("no/such/file cannot be read");
    Files.writeString(rules, RULES);
    assertThat(run("variants", "run", rules.toString())).isEqualTo(2);
    assertThat(err).contains("has no [lease]");
  }
}
