package beamspread.agent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.AgentClient;
import beamspread.fleet.Fleet;
import beamspread.fleet.VariantPublisher;
import beamspread.fleet.WorkLease;
import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import beamspread.lease.FencingToken;
import beamspread.node.variants.VariantFileReader;
import beamspread.variants.VariantTable;
import beamspread.variants.VariantVersion;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.assertj.core.api.ThrowableAssert;
import org.assertj.core.groups.Tuple;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tables of variants at an agent: from one owner at a time, for as long as the owner said. */
class VariantCallsTest {
  @TempDir Path folder;
  private AgentRig rig;
  private Fleet fleet;

  /** Calls without a token. */
  private Fleet plain;

  @BeforeEach
  void start() throws Exception {
    rig = new AgentRig(folder, "a1");
    rig.start();
    fleet = rig.fleet();
    plain = rig.fleet();
  }

  @AfterEach
  void stop() {
    fleet.close();
    plain.close();
    rig.close();
  }

  private static VariantTable table(long token, long number) {
    return VariantTable.of(
        "main",
        new VariantVersion(token, number),
        Map.of("page/", List.of(Set.of("phone", "tablet"))));
  }

  private AgentClient client(long token) {
    AgentClient client = rig.client(fleet);
    client.fence(token == 0 ? null : new FencingToken("variants/main", token));
    return client;
  }

  private Api.VariantOffer offer(VariantTable table) throws AgentCallException {
    return new Api.VariantOffer(
        rig.client(plain).variants("main").clock(), 60_000, table.digest(), table.text());
  }

  private static void refused(String error, ThrowableAssert.ThrowingCallable call) {
    assertThatThrownBy(call)
        .isInstanceOfSatisfying(
            AgentCallException.class, e -> assertThat(e.is(error)).as("%s", e).isTrue());
  }

  @Test
  void aTableIsTakenUnderTheLatestTokenAloneAlsoAfterARestart() throws Exception {
    Api.VariantView held = client(3).offer("main", offer(table(3, 1)));
    assertThat(held.version()).isEqualTo("3.1");
    assertThat(held.holdsMs()).isBetween(1L, 60_000L);
    client(4).offer("main", offer(table(4, 1)));
    refused(Api.STALE_TOKEN, () -> client(3).offer("main", offer(table(3, 2))));
    refused(
        "table_other_content",
        () ->
            client(4)
                .offer("main", offer(VariantTable.of("main", new VariantVersion(4, 1), Map.of()))));
    client(4).offer("main", offer(table(4, 2)));
    refused("table_older", () -> client(4).offer("main", offer(table(4, 1))));
    refused("bad_table", () -> client(4).offer("main", offer(table(5, 1))));
    refused("bad_request", () -> client(0).offer("main", offer(table(4, 3))));
    refused(
        "table_other_fleet",
        () -> {
          AgentClient other = rig.client(fleet);
          other.fence(new FencingToken("variants/other", 4));
          other.offer("other", offer(table(4, 3)));
        });
    Api.VariantOffer early = offer(table(4, 3));
    restart();
    assertThat(rig.client(plain).variants("main").text()).isNull();
    refused("other_start", () -> client(4).offer("main", early));
    refused(Api.STALE_TOKEN, () -> client(3).offer("main", offer(table(3, 9))));
    assertThat(client(4).offer("main", offer(table(4, 1))).version()).isEqualTo("4.1");
  }

  @Test
  void aTableThatIsDamagedOrLateChangesNothing() throws Exception {
    client(1).offer("main", offer(table(1, 1)));
    VariantTable next = table(1, 2);
    String clock = rig.client(plain).variants("main").clock();
    refused(
        "bad_table",
        () ->
            client(1)
                .offer(
                    "main",
                    new Api.VariantOffer(
                        clock, 60_000, next.digest(), next.text().replace("page/", "pagE/"))));
    refused(
        "bad_request",
        () -> client(1).offer("main", new Api.VariantOffer(clock, 0, next.digest(), next.text())));
    String[] read = clock.split(":");
    long before = Long.parseLong(read[1]) - 61_000_000_000L;
    refused(
        "table_lapsed",
        () ->
            client(1)
                .offer(
                    "main",
                    new Api.VariantOffer(
                        read[0] + ":" + before, 60_000, next.digest(), next.text())));
    refused(
        "table_unknown",
        () -> client(1).offer("main", new Api.VariantOffer(clock, 60_000, next.digest(), null)));
    // Known to be there, and over: the one before does not hold beside it.
    assertThat(rig.client(plain).variants("main").version()).isEqualTo("1.2");
    assertThat(rig.client(plain).variants("main").text()).isNull();
  }

  @Test
  void aTableThatIsHeldIsRenewedByItsDigestUnderItsOwnToken() throws Exception {
    VariantTable table = table(2, 1);
    String clock = rig.client(plain).variantsBrief("main").clock();
    Api.VariantOffer whole = new Api.VariantOffer(clock, 10_000, table.digest(), table.text());
    client(2).offer("main", whole);
    Api.VariantView brief = rig.client(plain).variantsBrief("main");
    assertThat(brief.text()).isNull();
    assertThat(brief.digest()).isEqualTo(table.digest());
    assertThat(brief.holdsMs()).isBetween(1L, 10_000L);
    Api.VariantOffer renewal = new Api.VariantOffer(brief.clock(), 60_000, table.digest(), null);
    assertThat(client(2).offer("main", renewal).holdsMs()).isBetween(10_001L, 60_000L);
    assertThat(rig.client(plain).variants("main").text()).isEqualTo(table.text());
    refused("table_unknown", () -> client(3).offer("main", renewal));
    refused(
        "table_unknown",
        () ->
            client(3)
                .offer(
                    "main",
                    new Api.VariantOffer(brief.clock(), 60_000, table(3, 1).digest(), null)));
  }

  /** What nodes leave alone comes back to the owner, whose next table leaves it out. */
  @Test
  void aPublisherLeavesOutWhatANodeLeavesAlone() throws Exception {
    VariantPublisher publisher = publisher();
    VariantPublisher.Round first = publisher.round();
    assertThat(first.taken()).isEqualTo(1);
    assertThat(first.table().rows()).containsOnlyKeys("page/", "list/");
    Api.VariantTold told = pull("{\"node\":\"n1\",\"token\":0,\"number\":0,\"split\":[\"page/\"]}");
    assertThat(told.text()).isEqualTo(first.table().text());
    assertThat(told.validMs()).isBetween(1L, 5000L);
    VariantPublisher.Round second = publisher.round();
    assertThat(second.table().rows()).containsOnlyKeys("list/");
    assertThat(second.table().version()).isEqualTo(new VariantVersion(7, 2));
    Api.VariantTold again = pull("{\"node\":\"n1\",\"token\":7,\"number\":2,\"split\":[]}");
    assertThat(again.text()).isNull();
    assertThat(again.number()).isEqualTo(2);
    assertThat(rig.client(plain).variants("main").nodes())
        .extracting(Api.VariantNode::node, Api.VariantNode::version)
        .containsExactly(Tuple.tuple("n1", "7.2"));
  }

  private VariantPublisher publisher() throws Exception {
    var file =
        VariantFileReader.read(
            """
            {"fleet":"main","hold_s":5,"rules":[
             {"prefix":"page/","separator":"/","field":0,"classes":["phone","tablet"],
              "requests":["read"],"max_age_s":30,"same":["phone+tablet"]},
             {"prefix":"list/","separator":"/","field":0,"classes":["phone","tablet"],
              "requests":["read"],"max_age_s":30,"same":["phone+tablet"]}]}
            """);
    WorkLease lease = WorkLease.of(new FencingToken("variants/main", 7));
    return new VariantPublisher(fleet, lease, file);
  }

  @Test
  void aFamilyThatOperatorsSplitStaysSplitOverARestartUntilItIsAllowed() throws Exception {
    assertThat(publisher().round().table().rows()).containsOnlyKeys("page/", "list/");
    assertThat(rig.client(plain).split("main", "page/").kept()).containsExactly("page/");
    assertThat(publisher().round().table().rows()).containsOnlyKeys("list/");
    restart();
    VariantPublisher publisher = publisher();
    assertThat(publisher.round().table().rows()).containsOnlyKeys("list/");
    assertThat(rig.client(plain).allow("main", "page/").kept()).isEmpty();
    assertThat(publisher.round().table().rows()).containsOnlyKeys("page/", "list/");
    refused("bad_request", () -> rig.client(plain).split("main", "two words"));
    refused("bad_request", () -> rig.client(plain).split("main", ""));
    Files.writeString(rig.folder.resolve("run").resolve("variant-splits.json"), "{\"main\":7}");
    restart();
    refused("splits_damaged", () -> client(8).offer("main", offer(table(8, 1))));
    refused("splits_damaged", () -> rig.client(plain).allow("main", "page/"));
  }

  private void restart() throws Exception {
    fleet.close();
    plain.close();
    rig.closeAgent();
    rig.start();
    fleet = rig.fleet();
    plain = rig.fleet();
  }

  private Api.VariantTold pull(String body) throws Exception {
    var request =
        HttpRequest.newBuilder(URI.create(rig.agent.url() + "/v1/variants/main/pull"))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    String text =
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
    return Json.read(text, Api.VariantTold.class);
  }
}
