package beamspread.agent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.Fleet;
import beamspread.fleet.api.Api;
import beamspread.fleet.api.Kind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One agent and its instances, as processes. */
class AgentTest {
  @TempDir Path folder;
  private AgentRig rig;

  @BeforeEach
  void makeRig() throws IOException {
    rig = new AgentRig(folder, "a1");
  }

  @AfterEach
  void closeRig() {
    rig.close();
  }

  @Test
  void startsStopsRestartsAndReloadsAsTheInstancesThemselvesSaw() throws Exception {
    rig.instance("n1").instance("n2").startAndWait();
    long first = rig.view("n1").pid();
    Files.writeString(rig.config("n1"), "{\"version\":2}\n");
    Files.writeString(rig.config("n2"), "{\"version\":2,\"refuse-me\":1}\n");
    assertThat(AgentRig.outcomes(rig.run(Kind.RELOAD, "n1", "n2")))
        .containsEntry("n1", "succeeded: generation 2")
        .containsEntry("n2", "failed: refused its file: told to refuse this file");
    assertThat(rig.saw("n1")).hasSize(2).last().asString().contains("hup accepted");
    assertThat(rig.saw("n2")).hasSize(2).last().asString().contains("hup refused");

    assertThat(AgentRig.outcomes(rig.run(Kind.RESTART, "n1"))).containsEntry("n1", "succeeded");
    assertThat(rig.view("n1").pid()).isNotEqualTo(first);
    assertThat(rig.saw("n1")).hasSize(3);

    assertThat(AgentRig.outcomes(rig.run(Kind.STOP, "n*")))
        .containsEntry("n1", "succeeded")
        .containsEntry("n2", "succeeded");
    assertThat(rig.view("n1").state()).isEqualTo("stopped");
    assertThat(AgentRig.outcomes(rig.run(Kind.STOP, "n1")))
        .containsEntry("n1", "skipped: does not run");
    assertThat(AgentRig.outcomes(rig.run(Kind.RELOAD, "n1")))
        .containsEntry("n1", "failed: does not run: stopped");
    assertThat(AgentRig.outcomes(rig.run(Kind.START, "n1"))).containsEntry("n1", "succeeded");
    assertThat(AgentRig.outcomes(rig.run(Kind.START, "n1")))
        .containsEntry("n1", "skipped: runs already");
  }

  @Test
  void instancesThatMisbehaveAreToldOfTruthfully() throws Exception {
    rig.instance("deaf", "ignore-hup")
        .instance("stubborn", "ignore-term")
        .instance("mute", "zone0", false)
        .start();
    for (String instance : List.of("deaf", "stubborn", "mute")) {
      AgentRig.await(instance, () -> rig.view(instance).state().equals("running"));
    }
    assertThat(AgentRig.outcomes(rig.run(Kind.RELOAD, "*")))
        .containsEntry(
            "deaf",
            "unknown: the signal was sent; the node has not said within 2.0 s whether it took its"
                + " file")
        .containsEntry("stubborn", "succeeded: generation 2")
        .containsEntry(
            "mute", "refused: has no status_socket, so nobody could say whether it took the file");
    assertThat(rig.saw("mute")).hasSize(1);
    assertThat(AgentRig.outcomes(rig.run(Kind.STOP, "stubborn")))
        .containsEntry("stubborn", "succeeded: did not end within 1.5 s of SIGTERM: killed");
    assertThat(rig.view("stubborn").pid()).isNull();
  }

  /** Guards against a kill before the deadlines of the process that runs, by its replaced file. */
  @Test
  void aStopLeavesTheTimeThatTheProcessOwesWhateverItsFileSaysByNow() throws Exception {
    rig.withoutSetStopTime().instance("shorter", "ignore-term").instance("broken", "ignore-term");
    for (String instance : List.of("shorter", "broken")) {
      Files.writeString(rig.config(instance), withDeadline("1.2"));
    }
    rig.startAndWait();
    Files.writeString(rig.config("shorter"), withDeadline("0.1"));
    Files.writeString(rig.config("broken"), "{");
    assertThat(AgentRig.outcomes(rig.run(Kind.STOP, "*")))
        .containsEntry("shorter", "succeeded: did not end within 2.8 s of SIGTERM: killed")
        .containsEntry("broken", "succeeded: did not end within 2.8 s of SIGTERM: killed");
  }

  private static String withDeadline(String seconds) {
    return "{\"version\":1,\"settings\":{\"services\":[{\"give-up\":" + seconds + "}]}}\n";
  }

  @Test
  void instancesThatEndByThemselvesComeToACrashLoopThatIsTold() throws Exception {
    rig.instance("dies", "exit=3").instance("leaves", "exit=0").start();
    for (String instance : List.of("dies", "leaves")) {
      AgentRig.await(instance, () -> rig.view(instance).state().equals("crash_loop"));
    }
    Api.InstanceView dies = rig.view("dies");
    assertThat(dies.reason()).contains("with code 3").contains("4 times within");
    assertThat(rig.view("leaves").reason()).contains("with code 0");
    assertThat(AgentRig.outcomes(rig.run(Kind.START, "dies")).get("dies"))
        .startsWith("failed: ended by itself with code 3")
        .endsWith("last line: ending as told");
    AgentRig.await("once more", () -> rig.view("dies").state().equals("crash_loop"));
    assertThat(AgentRig.outcomes(rig.run(Kind.STOP, "dies")))
        .containsEntry("dies", "skipped: does not run");
    assertThat(rig.view("dies").state()).isEqualTo("stopped");
    try (Fleet fleet = rig.fleet()) {
      assertThat(rig.client(fleet).log("leaves", 2)).contains("ending as told");
    }
  }

  @Test
  void aCommandThatDoesNotExistIsAFailedStart() throws Exception {
    rig.raw("n1", "z", List.of("/nonexistent/node"), "autostart = false\n").start();
    assertThat(AgentRig.outcomes(rig.run(Kind.START, "n1")).get("n1"))
        .startsWith("failed: ended by itself with code 127");
  }

  @Test
  void aKilledInstanceIsStartedAgainAndAnAgentsEndEndsNone() throws Exception {
    rig.instance("n1").instance("n2").startAndWait();
    long first = rig.view("n1").pid();
    ProcessHandle.of(first).orElseThrow().destroyForcibly();
    AgentRig.await(
        "n1 is back",
        () -> {
          Api.InstanceView view = rig.view("n1");
          return view.state().equals("running") && view.pid() != first;
        });
    long second = rig.view("n1").pid();
    rig.closeAgent();
    assertThat(ProcessHandle.of(second)).isPresent();
    rig.start();
    rig.awaitRunning();
    assertThat(rig.view("n1").pid()).isEqualTo(second);
    assertThat(rig.saw("n1")).hasSize(2);
    // One that was taken over is supervised as well, and can be stopped.
    ProcessHandle.of(second).orElseThrow().destroyForcibly();
    AgentRig.await(
        "n1 is back again",
        () -> {
          Api.InstanceView view = rig.view("n1");
          return view.state().equals("running") && view.pid() != second;
        });
    assertThat(AgentRig.outcomes(rig.run(Kind.STOP, "n2"))).containsEntry("n2", "succeeded");
    // What was stopped stays so over the next start.
    rig.closeAgent();
    rig.start();
    AgentRig.await("n1 is taken over", () -> rig.view("n1").state().equals("running"));
    assertThat(rig.view("n2").state()).isEqualTo("stopped");
  }

  @Test
  void aReusedProcessIdIsNeverTakenForTheInstance() throws Exception {
    rig.instance("n1").startAndWait();
    assertThat(AgentRig.outcomes(rig.run(Kind.STOP, "n1"))).containsEntry("n1", "succeeded");
    rig.closeAgent();
    // The pid file now names a process of somebody else's, with the instance's start time.
    Process other = new ProcessBuilder("sleep", "60").start();
    try {
      Path pidFile = folder.resolve("a1/run/n1.pid");
      String written = Files.readString(pidFile);
      Files.writeString(pidFile, other.pid() + written.substring(written.indexOf(' ')));
      rig.start();
      assertThat(rig.view("n1").pid()).isNull();
      assertThat(AgentRig.outcomes(rig.run(Kind.START, "n1"))).containsEntry("n1", "succeeded");
      assertThat(AgentRig.outcomes(rig.run(Kind.STOP, "n1"))).containsEntry("n1", "succeeded");
      assertThat(other.isAlive()).isTrue();
    } finally {
      other.destroyForcibly();
    }
  }

  @Test
  void anAgentWithAnOlderRecordStartsNothingByItselfAndReusesNoToken() throws Exception {
    rig.instance("n1").instance("n2").startAndWait();
    rig.closeAgent();
    Path record = folder.resolve("a1/run/record.db");
    byte[] old = Files.readAllBytes(record);
    rig.start();
    rig.awaitRunning();
    assertThat(AgentRig.outcomes(rig.run(Kind.STOP, "n1"))).containsEntry("n1", "succeeded");
    Api.LeaseGiven before;
    try (Fleet fleet = rig.fleet()) {
      before = rig.client(fleet).lease(ask("s1", "before", 5000, "n2"));
    }
    rig.closeAgent();
    Files.write(record, old);
    Files.deleteIfExists(record.resolveSibling("record.db-wal"));
    Files.deleteIfExists(record.resolveSibling("record.db-shm"));
    rig.start();
    AgentRig.await("n2 is taken over", () -> rig.view("n2").state().equals("running"));
    // The older record says that n1 is to run; it was stopped since.
    assertThat(rig.view("n1").state()).isEqualTo("stopped");
    assertThat(rig.view("n1").reason()).contains("older");
    try (Fleet fleet = rig.fleet()) {
      assertThat(rig.client(fleet).agent().trouble()).contains("the record is older");
      Api.LeaseGiven after = rig.client(fleet).lease(ask("s2", "after", 5000, "n2"));
      assertThat(after.tokens().get("n2")).isGreaterThan(before.tokens().get("n2"));
      assertThatThrownBy(
              () ->
                  rig.client(fleet)
                      .steps(
                          new Api.StepsAsk(
                              "before",
                              Kind.STOP,
                              List.of(new Api.StepAsk("n2", before.tokens().get("n2"), 1)))))
          .hasMessageContaining("out of date");
    }
    assertThat(rig.view("n2").state()).isEqualTo("running");
  }

  static Api.LeaseAsk ask(String session, String operation, long ttl, String... instances) {
    return new Api.LeaseAsk(session, operation, Kind.STOP, "anna", List.of(instances), ttl, null);
  }

  @Test
  void leasesKeepASecondOperatorOutAndRunOut() throws Exception {
    rig.instance("n1").instance("n2").startAndWait();
    try (Fleet fleet = rig.fleet()) {
      var client = rig.client(fleet);
      Api.LeaseGiven given = client.lease(ask("s1", "first", 400, "n1"));
      assertThatThrownBy(() -> client.lease(ask("s2", "second", 400, "n2", "n1")))
          .hasMessageContaining("n1 is held by anna for stop first");
      // Of what was refused nothing is held.
      assertThat(rig.view("n2").held()).isNull();
      assertThat(rig.view("n1").held().operation()).isEqualTo("first");
      AgentRig.await(
          "the lease of a client that died runs out", () -> rig.view("n1").held() == null);
      client.lease(ask("s2", "second", 5000, "n1", "n2"));
      assertThatThrownBy(
              () ->
                  client.steps(
                      new Api.StepsAsk(
                          "first",
                          Kind.STOP,
                          List.of(new Api.StepAsk("n1", given.tokens().get("n1"), 1)))))
          .hasMessageContaining("out of date");
      assertThat(client.operation("first", 0, 0).state()).isEqualTo("interrupted");
      assertThat(rig.view("n1").state()).isEqualTo("running");
    }
  }

  @Test
  void aStepThatIsAskedForTwiceIsDoneOnce() throws Exception {
    rig.instance("n1").startAndWait();
    try (Fleet fleet = rig.fleet()) {
      var client = rig.client(fleet);
      Api.LeaseGiven given =
          client.lease(
              new Api.LeaseAsk("s1", "twice", Kind.RELOAD, "anna", List.of("n1"), 20_000, null));
      Api.StepsAsk ask =
          new Api.StepsAsk(
              "twice", Kind.RELOAD, List.of(new Api.StepAsk("n1", given.tokens().get("n1"), 1)));
      // While the first is under way, and after it has ended.
      client.steps(ask);
      client.steps(ask);
      AgentRig.await(
          "it ends",
          () -> {
            try {
              return client.operation("twice", 1000, 0).steps().get(0).outcome() != null;
            } catch (AgentCallException e) {
              throw new AssertionError(e);
            }
          });
      assertThat(client.steps(ask).steps()).hasSize(1);
      // A second try under its own number is a step of its own.
      client.steps(
          new Api.StepsAsk(
              "twice", Kind.RELOAD, List.of(new Api.StepAsk("n1", given.tokens().get("n1"), 2))));
      AgentRig.await("the second is done", () -> rig.saw("n1").size() == 3);
      assertThat(client.operation("twice", 0, 0).steps()).hasSize(2);
    }
    assertThat(rig.saw("n1")).hasSize(3);
  }

  @Test
  void limitsAndEnvironmentReachTheInstance() throws Exception {
    rig.raw(
            "n1",
            "z",
            List.of("/bin/sh", "-c", "echo $(ulimit -n) $COLOUR $ROUTER_CONFIG; exec sleep 60"),
            "limits = {descriptors = 321}\nenv = {COLOUR = \"red\"}\n")
        .startAndWait();
    try (Fleet fleet = rig.fleet()) {
      assertThat(rig.client(fleet).log("n1", 5)).containsExactly("321 red " + rig.config("n1"));
    }
  }

  @Test
  void aLogIsBoundedAndKeepsItsEnd() throws Exception {
    InstanceLog log = new InstanceLog(folder.resolve("log"));
    assertThat(log.tail(3)).isEmpty();
    StringBuilder lines = new StringBuilder();
    for (int i = 0; lines.length() < 2 << 20; i++) {
      lines.append("line ").append(i).append('\n');
    }
    lines.append("the last one\n");
    Files.writeString(log.file(), lines);
    assertThat(log.tail(1)).containsExactly("the last one");
    log.trim();
    assertThat(Files.size(log.file())).isZero();
    assertThat(Files.size(folder.resolve("log.1"))).isEqualTo(256 << 10);
    assertThat(Files.readString(folder.resolve("log.1"))).endsWith("the last one\n");
  }

  @Test
  void anOperationThatTheRecordHasLostIsUnknownToItsCaller() throws Exception {
    rig.instance("n1", "slow-hup=1500").startAndWait();
    Path record = folder.resolve("a1/run/record.db");
    rig.closeAgent();
    byte[] old = Files.readAllBytes(record);
    int port;
    rig.start();
    rig.awaitRunning();
    port = java.net.URI.create(rig.agent.url()).getPort();
    var running =
        java.util.concurrent.CompletableFuture.supplyAsync(
            () -> {
              try (Fleet fleet = rig.fleet()) {
                return AgentRig.run(fleet, "lost", Kind.RELOAD, "n1");
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    AgentRig.await("the step is taken on", () -> rig.view("n1").held() != null);
    try (Fleet fleet = rig.fleet()) {
      AgentRig.await(
          "and begun",
          () -> {
            try {
              return !rig.client(fleet).operation("lost", 0, 0).steps().isEmpty();
            } catch (AgentCallException e) {
              return false;
            }
          });
    }
    rig.closeAgent();
    Files.write(record, old);
    Files.deleteIfExists(record.resolveSibling("record.db-wal"));
    Files.deleteIfExists(record.resolveSibling("record.db-shm"));
    // It comes back at the same address.
    Path file = rig.folder.resolve("agent.toml");
    Files.writeString(file, Files.readString(file).replace("127.0.0.1:0", "127.0.0.1:" + port));
    rig.agent = Agent.start(file);
    assertThat(AgentRig.outcomes(running.get(60, java.util.concurrent.TimeUnit.SECONDS)).get("n1"))
        .startsWith("unknown: the agent no longer has on record what it had taken on");
  }

  @Test
  void faultsInTheFileStartNothing() throws Exception {
    rig.instance("n1").instance("n1").append("[api2]\nx = 1\n");
    assertThatThrownBy(() -> rig.start())
        .hasMessageContaining("'n1' stands twice, first at line")
        .hasMessageContaining("api2: unknown key");
    assertThat(Files.exists(folder.resolve("a1/run"))).isFalse();
  }
}
