package beamspread.agent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.AgentClient;
import beamspread.fleet.Fleet;
import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import beamspread.fleet.api.Kind;
import beamspread.lease.FencingToken;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An agent under owners that come late: what was begun ends, and nothing more is begun. */
class FencingTest {
  private static final long TTL_MILLIS = 60_000;

  @TempDir Path folder;
  private AgentRig rig;

  @BeforeEach
  void makeRig() throws Exception {
    rig = new AgentRig(folder, "a1");
  }

  @AfterEach
  void closeRig() {
    rig.close();
  }

  private static FencingToken token(long epoch) {
    return new FencingToken("rollout/main", epoch);
  }

  private static Api.LeaseAsk ask(String session, String... instances) {
    return new Api.LeaseAsk(
        session, "op-" + session, Kind.RELOAD, session, List.of(instances), TTL_MILLIS, null);
  }

  private static Api.StepsAsk step(String session, String instance, long token) {
    return new Api.StepsAsk(
        "op-" + session, Kind.RELOAD, List.of(new Api.StepAsk(instance, token, 1)));
  }

  private AgentClient client(Fleet fleet, long epoch) {
    AgentClient client = rig.client(fleet);
    client.fence(epoch == 0 ? null : token(epoch));
    return client;
  }

  private long hups(String instance) {
    return rig.saw(instance).stream().filter(line -> line.contains(" hup accepted ")).count();
  }

  private static void refusedAsStale(org.assertj.core.api.ThrowableAssert.ThrowingCallable call) {
    assertThatThrownBy(call)
        .isInstanceOfSatisfying(
            AgentCallException.class, e -> assertThat(e.is(Api.STALE_TOKEN)).as("%s", e).isTrue());
  }

  @Test
  void aLowerTokenIsRefusedWhateverTheTimeAlsoAfterARestart() throws Exception {
    rig.instance("n1").instance("n2").startAndWait();
    try (Fleet fleet = rig.fleet()) {
      client(fleet, 5).lease(ask("s5", "n1"));
      assertThatThrownBy(() -> client(fleet, 4).lease(ask("s4", "n2")))
          .hasMessageContainingAll("rollout/main", "token 4", "token 5");
      client(fleet, 5).release(new Api.LeaseEnd("s5", "op-s5", "ended"));
      refusedAsStale(() -> client(fleet, 4).lease(ask("s4", "n2")));
      assertThat(client(fleet, 0).agent().leases())
          .containsExactly(new Api.LeaseSeen("rollout/main", 5, 2));
      client(fleet, 0).lease(ask("none", "n2"));
      client(fleet, 0).release(new Api.LeaseEnd("none", "op-none", "ended"));
    }
    rig.closeAgent();
    rig.start();
    try (Fleet fleet = rig.fleet()) {
      refusedAsStale(() -> client(fleet, 4).lease(ask("s4", "n2")));
      client(fleet, 5).lease(ask("s5", "n2"));
    }
  }

  @Test
  void aDamagedFileOfTokensRefusesWorkAndKeepsInstancesRunning() throws Exception {
    rig.instance("n1").startAndWait();
    try (Fleet fleet = rig.fleet()) {
      client(fleet, 3).lease(ask("s3", "n1"));
    }
    rig.closeAgent();
    Path file = rig.folder.resolve("run/fencing-tokens.json");
    assertThat(Files.readString(file)).isEqualTo("{\"rollout/main\":3}\n");
    for (String damaged : new String[] {"", "{\"rollout/main\":", "[]", "{\"rollout/main\":0}"}) {
      Files.writeString(file, damaged);
      rig.start();
      try (Fleet fleet = rig.fleet()) {
        assertThatThrownBy(() -> client(fleet, 9).lease(ask("s9", "n1")))
            .hasMessageContainingAll("no work on the fleet is taken on", file.toString());
        assertThat(rig.client(fleet).agent().trouble()).contains("damaged");
        assertThat(rig.view("n1").state()).isEqualTo("running");
      }
      rig.closeAgent();
      assertThat(Files.readString(file)).as("left as it is").isEqualTo(damaged);
    }
  }

  @Test
  void aLaterOwnerWaitsForTheStepUnderWayAndTheEarlierOneBeginsNothingMore() throws Exception {
    rig.instance("n1", "slow-hup=900").instance("n2").startAndWait();
    Files.writeString(rig.config("n1"), "{\"version\":2}\n");
    try (Fleet fleet = rig.fleet();
        Fleet other = rig.fleet()) {
      Api.LeaseGiven given = client(fleet, 1).lease(ask("s1", "n1", "n2"));
      client(fleet, 1).steps(step("s1", "n1", given.tokens().get("n1")));
      int asked = 0;
      for (boolean done = false; !done; asked++) {
        try {
          client(other, 2).lease(ask("s2", "n1", "n2"));
          done = true;
        } catch (AgentCallException e) {
          assertThat(e.is(Api.FINISHING)).as("%s", e).isTrue();
          Thread.onSpinWait();
        }
      }
      assertThat(asked).as("the step was under way").isGreaterThan(1);
      assertThat(hups("n1")).as("and has ended").isEqualTo(1);
      refusedAsStale(() -> client(fleet, 1).steps(step("s1", "n2", given.tokens().get("n2"))));
      refusedAsStale(() -> client(fleet, 1).renew(new Api.LeaseEnd("s1", "op-s1", null)));
      assertThat(hups("n2")).isZero();
      assertThat(rig.view("n2").held().by()).isEqualTo("s2");
      assertThat(client(other, 2).operation("op-s1", 0, 0).state()).isEqualTo("interrupted");
    }
  }

  @Test
  void anUnfencedHolderIsNotPushedAside() throws Exception {
    rig.instance("n1").startAndWait();
    try (Fleet fleet = rig.fleet()) {
      client(fleet, 0).lease(ask("plain", "n1"));
      assertThatThrownBy(() -> client(fleet, 7).lease(ask("s7", "n1")))
          .isInstanceOfSatisfying(AgentCallException.class, e -> assertThat(e.is("held")).isTrue());
    }
  }

  /** The owner was suspended with its call half sent; the rest arrives after the take-over. */
  @Test
  void aCallThatArrivesAfterTheTakeOverIsRefused() throws Exception {
    rig.instance("n1").startAndWait();
    try (Fleet fleet = rig.fleet();
        Fleet other = rig.fleet()) {
      Api.LeaseGiven given = client(fleet, 1).lease(ask("s1", "n1"));
      String body = Json.text(step("s1", "n1", given.tokens().get("n1")));
      URI url = URI.create(rig.agent.url());
      try (Socket socket = new Socket(url.getHost(), url.getPort())) {
        socket.setSoTimeout(20_000);
        String call =
            "POST /v1/steps HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n"
                + "Content-Type: application/json\r\n"
                + Api.FENCING_HEADER
                + ": rollout/main 1\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
        byte[] bytes = call.getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write(bytes, 0, bytes.length - 1);
        socket.getOutputStream().flush();
        client(other, 2).lease(ask("s2", "n1"));
        socket.getOutputStream().write(bytes, bytes.length - 1, 1);
        String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(answer).contains("409", Api.STALE_TOKEN, "token 1 was given, token 2");
      }
      assertThat(hups("n1")).isZero();
      try (Socket socket = new Socket(url.getHost(), url.getPort())) {
        socket.setSoTimeout(20_000);
        socket
            .getOutputStream()
            .write(
                ("POST /v1/steps HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n"
                        + "Content-Type: application/json\r\nContent-Length: 2\r\n"
                        + Api.FENCING_HEADER
                        + ": rollout/main seven\r\n\r\n{}")
                    .getBytes(StandardCharsets.UTF_8));
        assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
            .contains("400", "the epoch is no whole number");
      }
    }
  }

  /** A token that can't be kept fails the calls that show it, and no others. */
  @Test
  void aCallWithoutATokenDoesNotWaitForTheDisk() throws Exception {
    Path gone = Files.createDirectory(folder.resolve("gone"));
    Fencing fencing = new Fencing(new FencingFile(gone.resolve("tokens.json")));
    Files.delete(gone);
    Files.createFile(gone);
    assertThat(fencing.keep(token(1), Runnable::run, Runnable::run)).isCompletedExceptionally();
    assertThat(fencing.keep(null, Runnable::run, Runnable::run)).isCompletedWithValue(null);
    assertThat(fencing.keep(token(1), Runnable::run, Runnable::run)).isCompletedExceptionally();
  }
}
