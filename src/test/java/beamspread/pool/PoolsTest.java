package beamspread.pool;

import static beamspread.pool.PoolTestEnvironment.MS;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PoolsTest {
  private static PoolTestEnvironment environment(
      int connections, int sockets, int spare, int servers) {
    PoolTestEnvironment environment =
        new PoolTestEnvironment(
            PoolTestEnvironment.settings(connections, sockets, spare), new Random(1));
    for (int i = 0; i < servers; i++) {
      environment.pools.serverListed(i, false, Long.MIN_VALUE);
    }
    return environment;
  }

  private static void completeAllOpenings(PoolTestEnvironment environment) {
    for (int i = 0; !environment.openingConnections.isEmpty(); i++) {
      assertThat(i).as("number of connection attempts").isLessThan(1000);
      environment.completeOpening(environment.openingConnections.get(0));
    }
  }

  @Test
  void reusesTheMostRecentlyUsedFreeConnectionAndClosesTheRestAfterTheIdleTimeout() {
    PoolTestEnvironment environment = environment(6, 20, 0, 1);
    for (int i = 0; i < 3; i++) {
      environment.send(0, false);
    }
    completeAllOpenings(environment);
    assertThat(environment.established()).hasSize(3);
    List<PoolTestEnvironment.TestConnection> all = environment.established();
    for (PoolTestEnvironment.TestConnection connection : all) {
      environment.now += 10 * MS;
      environment.answerOldest(connection);
    }
    for (int i = 0; i < 600; i++) {
      environment.now += 10 * MS;
      PoolTestEnvironment.TestAttempt attempt = environment.send(0, false);
      assertThat(attempt.connection).as("the most recently used connection").isSameAs(all.get(2));
      environment.answerOldest(attempt.connection);
      environment.pools.tick(environment.now);
      environment.reapClosing();
    }
    assertThat(environment.established()).containsExactly(all.get(2));
    assertThat(environment.handshakes).isEqualTo(3);
  }

  @Test
  void doesNotWriteToAnExpiredConnectionEvenWithoutASweep() {
    PoolTestEnvironment environment = environment(6, 20, 0, 1);
    PoolTestEnvironment.TestAttempt first = environment.send(0, false);
    completeAllOpenings(environment);
    environment.answerOldest(first.connection);
    environment.now += 5000 * MS;
    PoolTestEnvironment.TestAttempt second = environment.send(0, false);
    assertThat(first.connection.closing).isTrue();
    completeAllOpenings(environment);
    assertThat(second.connection).isNotNull().isNotSameAs(first.connection);
  }

  /**
   * Sends to ten servers in turn, some of which refuse all connections; returns whether a free
   * connection to another server is still open after the given time.
   */
  private static boolean isKeptAfterMillis(int millis, int refusingServers) {
    PoolTestEnvironment environment = environment(1, 30, 0, 11);
    for (long server = 1; server <= refusingServers; server++) {
      environment.connectionLimits.put(server, 0);
    }
    for (int i = 0; i < 300; i++) {
      environment.now += 10 * MS;
      PoolTestEnvironment.TestAttempt attempt = environment.send(1 + i % 10, false);
      completeAllOpenings(environment);
      if (attempt.connection != null) {
        environment.answerOldest(attempt.connection);
      }
    }
    PoolTestEnvironment.TestAttempt rareAttempt = environment.send(0, false);
    completeAllOpenings(environment);
    environment.answerOldest(rareAttempt.connection);
    environment.now += millis * MS;
    environment.pools.tick(environment.now);
    return !rareAttempt.connection.closing;
  }

  @Test
  void shortensTheIdleTimeWhenManyAttemptsAreRefused() {
    assertThat(isKeptAfterMillis(3000, 0)).as("nothing is scarce").isTrue();
    assertThat(isKeptAfterMillis(200, 3)).as("below the minimum idle time").isTrue();
    assertThat(isKeptAfterMillis(400, 3)).as("closed for other nodes").isFalse();
  }

  @Test
  void learnsAServerLimitFromOneRefusalAndProbesItOneConnectionAtATime() {
    PoolTestEnvironment environment = environment(6, 20, 0, 1);
    environment.connectionLimits.put(0L, 2);
    List<PoolTestEnvironment.TestAttempt> attempts = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      attempts.add(environment.send(0, false));
      completeAllOpenings(environment);
    }
    assertThat(environment.established()).hasSize(2);
    assertThat(environment.refusedHandshakes).as("one refusal shows the limit").isEqualTo(1);
    assertThat(attempts).allMatch(attempt -> attempt.connection != null);
    // During ten seconds under load the limit is probed at growing intervals.
    for (int i = 0; i < 1000; i++) {
      environment.now += 10 * MS;
      environment.send(0, false);
      completeAllOpenings(environment);
      List.copyOf(environment.established()).stream()
          .filter(connection -> connection.inFlight.size() > 1)
          .forEach(environment::answerOldest);
    }
    assertThat(environment.refusedHandshakes).isBetween(2, 9);
    // The server's limit rises: in the end all allowed connections are used.
    environment.connectionLimits.put(0L, 30);
    for (int i = 0; i < 6000 && environment.established().size() < 6; i++) {
      environment.now += 10 * MS;
      environment.send(0, false);
      completeAllOpenings(environment);
      List.copyOf(environment.established()).stream()
          .filter(connection -> connection.inFlight.size() > 1)
          .forEach(environment::answerOldest);
    }
    assertThat(environment.established()).hasSize(6);
  }

  @Test
  void writesNothingBehindAStreamedAnswerAndDoesNotTreatItAsSilent() {
    PoolTestEnvironment environment = environment(1, 20, 0, 1);
    PoolTestEnvironment.TestAttempt large = environment.send(0, false);
    completeAllOpenings(environment);
    environment.now += 10 * MS;
    environment.startStreaming(large.connection);
    PoolTestEnvironment.TestAttempt next = environment.send(0, false);
    assertThat(next.connection).as("waits for a connection beyond the configured number").isNull();
    completeAllOpenings(environment);
    assertThat(next.connection).isNotNull().isNotSameAs(large.connection);
    environment.now += 4000 * MS;
    environment.answerOldest(next.connection);
    environment.answerOldest(large.connection);
    assertThat(large.outcome).isEqualTo("answered");
    PoolTestEnvironment.TestAttempt last = environment.send(0, false);
    assertThat(last.connection).as("free again").isSameAs(large.connection);
  }

  @Test
  void opensExtraConnectionsWhileStreamingUpToTheServerLimit() {
    PoolTestEnvironment environment = environment(2, 40, 0, 1);
    for (int round = 0; round < 4; round++) {
      environment.send(0, false);
      completeAllOpenings(environment);
      List.copyOf(environment.established()).stream()
          .filter(connection -> !connection.streaming && !connection.inFlight.isEmpty())
          .forEach(environment::startStreaming);
    }
    assertThat(environment.established())
        .as("two streaming, and as many extra connections")
        .hasSize(4);
    PoolTestEnvironment.TestAttempt next = environment.send(0, false);
    completeAllOpenings(environment);
    assertThat(next.connection).isNotNull();
    assertThat(next.connection.streaming).isFalse();
    // The server's limit is five; one refusal shows it.
    environment.connectionLimits.put(0L, 5);
    environment.startStreaming(next.connection);
    List<PoolTestEnvironment.TestAttempt> more = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      environment.now += 10 * MS;
      more.add(environment.send(0, false));
      completeAllOpenings(environment);
    }
    assertThat(environment.established()).hasSize(5);
    assertThat(environment.refusedHandshakes)
        .as("refused once, without an immediate retry")
        .isEqualTo(1);
    assertThat(more)
        .as("all connections are in use")
        .allMatch(attempt -> "full".equals(attempt.outcome));
  }

  @Test
  void reportsFullWhenAConnectionIsRefusedWhileAnotherStreams() {
    PoolTestEnvironment environment =
        new PoolTestEnvironment(
            new PoolSettings(1, 1, 0, 4, 8, 4, 8, 0, 1, 5000 * MS, 0, 400 * MS, 0), new Random(1));
    environment.pools.serverListed(0, false, Long.MIN_VALUE);
    environment.connectionLimits.put(0L, 1);
    environment.startStreaming(sendAndOpen(environment));
    PoolTestEnvironment.TestAttempt next = environment.send(0, false);
    completeAllOpenings(environment);
    assertThat(environment.refusedHandshakes).isEqualTo(1);
    assertThat(next.outcome).as("no further connection may be open").isEqualTo("full");
  }

  private static PoolTestEnvironment.TestConnection sendAndOpen(PoolTestEnvironment environment) {
    PoolTestEnvironment.TestAttempt first = environment.send(0, false);
    completeAllOpenings(environment);
    return first.connection;
  }

  @Test
  void aSlowHandshakeDelaysNoOtherServerOrFreeConnection() {
    PoolTestEnvironment environment = environment(6, 20, 0, 2);
    PoolTestEnvironment.TestAttempt first = environment.send(0, false);
    completeAllOpenings(environment);
    PoolTestEnvironment.TestAttempt second = environment.send(0, false);
    assertThat(second.connection).as("waits for a slow handshake").isNull();
    PoolTestEnvironment.TestAttempt other = environment.send(1, false);
    environment.completeOpening(environment.openingConnections.get(1));
    assertThat(other.connection).isNotNull();
    environment.now += 20 * MS;
    environment.answerOldest(first.connection);
    assertThat(second.connection).as("uses the connection that became free").isNotNull();
  }

  @Test
  void sendsNothingBehindAnOverdueAnswerWhileAnotherConnectionIsAvailable() {
    PoolTestEnvironment environment = environment(2, 20, 0, 1);
    PoolTestEnvironment.TestAttempt slow = environment.send(0, false);
    completeAllOpenings(environment);
    PoolTestEnvironment.TestAttempt fast = environment.send(0, false);
    completeAllOpenings(environment);
    environment.now += 10 * MS;
    environment.answerOldest(fast.connection);
    fast = environment.send(0, false);
    environment.now += 500 * MS;
    PoolTestEnvironment.TestConnection suspect = slow.connection;
    // Both answers are overdue: one more connection is opened beyond the configured number.
    PoolTestEnvironment.TestAttempt next = environment.send(0, true);
    assertThat(environment.openingConnections).hasSize(1);
    completeAllOpenings(environment);
    assertThat(next.connection).isNotSameAs(suspect).isNotSameAs(fast.connection);
    PoolTestEnvironment.TestAttempt attempt = environment.send(0, false);
    completeAllOpenings(environment);
    PoolTestEnvironment.TestConnection overdue = fast.connection;
    // No further connection is opened: attempts now wait behind answers that are not overdue.
    assertThat(environment.send(0, false).connection)
        .isNotNull()
        .isNotSameAs(suspect)
        .isNotSameAs(overdue);
    assertThat(attempt.connection).isNotSameAs(suspect).isNotSameAs(overdue);
    assertThat(environment.openingConnections).isEmpty();
  }

  @Test
  void readsAvoidAConnectionWithAnUnrepeatableWrite() {
    PoolTestEnvironment environment = environment(2, 20, 0, 1);
    PoolTestEnvironment.TestAttempt write = environment.send(0, true);
    environment.send(0, false);
    completeAllOpenings(environment);
    assertThat(write.connection).isNotNull();
    PoolTestEnvironment.TestAttempt third = environment.send(0, false);
    assertThat(third.connection).isNotSameAs(write.connection);
  }

  @Test
  void takesSocketsFromTheServerWithTheMostConnectionsWhenNoneIsLeft() {
    PoolTestEnvironment environment = environment(6, 8, 0, 3);
    List<PoolTestEnvironment.TestAttempt> server1Attempts = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      server1Attempts.add(environment.send(1, false));
      completeAllOpenings(environment);
    }
    PoolTestEnvironment.TestAttempt server0Attempt = environment.send(0, false);
    environment.send(0, false);
    completeAllOpenings(environment);
    // Its own connection has been free longest, but that server has few connections.
    environment.answerOldest(server0Attempt.connection);
    environment.now += MS;
    server1Attempts.forEach(one -> environment.answerOldest(one.connection));
    PoolTestEnvironment.TestAttempt server2Attempt = environment.send(2, false);
    completeAllOpenings(environment);
    assertThat(server2Attempt.connection).isNotNull();
    assertThat(environment.established().stream().filter(one -> one.server == 1)).hasSize(5);
    assertThat(environment.established().stream().filter(one -> one.server == 0)).hasSize(2);
    assertThat(environment.pools.socketCount()).isEqualTo(8);
  }

  @Test
  void rejectsAnAttemptAtOnceWhenNoSocketIsAvailable() {
    PoolTestEnvironment environment = environment(2, 1, 0, 2);
    PoolTestEnvironment.TestAttempt held = environment.send(0, false);
    completeAllOpenings(environment);
    assertThat(environment.send(1, false).outcome).isEqualTo("unreachable");
    environment.answerOldest(held.connection);
    PoolTestEnvironment.TestAttempt next = environment.send(1, false);
    completeAllOpenings(environment);
    assertThat(next.connection).isNotNull();
  }

  @Test
  void settlesAttemptsThatWaitForTheOpeningLimit() {
    PoolTestEnvironment environment = environment(4, 40, 0, 12);
    List<PoolTestEnvironment.TestAttempt> attempts = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      attempts.add(environment.send(i, false));
    }
    assertThat(environment.openingConnections).as("limit on opening connections").hasSize(8);
    while (!environment.openingConnections.isEmpty()) {
      environment.failOpening(environment.openingConnections.get(0), true);
    }
    assertThat(attempts).allMatch(attempt -> "unreachable".equals(attempt.outcome));
  }

  @Test
  void retiresConnectionsFromBeforeAnAddressChangeOrServerStart() {
    PoolTestEnvironment environment = environment(2, 20, 0, 1);
    PoolTestEnvironment.TestAttempt first = environment.send(0, false);
    completeAllOpenings(environment);
    environment.pools.serverListed(0, true, Long.MIN_VALUE);
    PoolTestEnvironment.TestAttempt second = environment.send(0, false);
    assertThat(second.connection).isNull();
    completeAllOpenings(environment);
    assertThat(second.connection).isNotNull().isNotSameAs(first.connection);
    environment.answerOldest(first.connection);
    assertThat(first.connection.closing).isTrue();
    PoolTestEnvironment.TestConnection before = second.connection;
    environment.answerOldest(before);
    environment.now += 1000 * MS;
    environment.pools.serverListed(0, false, environment.now - 10 * MS);
    assertThat(before.closing).as("opened before the server process started").isTrue();
    // A connection that opens after its address was replaced is not used.
    PoolTestEnvironment.TestAttempt third = environment.send(0, false);
    PoolTestEnvironment.TestConnection late = environment.openingConnections.get(0);
    environment.pools.serverListed(0, true, Long.MIN_VALUE);
    environment.completeOpening(late);
    assertThat(late.closing).isTrue();
    environment.reapClosing();
    completeAllOpenings(environment);
    assertThat(third.connection).isNotNull();
  }

  @Test
  void keepsSpareConnectionsExceptAtAColdServerOrBeyondTheLimit() {
    PoolTestEnvironment environment = environment(4, 20, 1, 2);
    PoolTestEnvironment.TestAttempt first = environment.send(0, false);
    assertThat(environment.openingConnections).hasSize(2);
    completeAllOpenings(environment);
    PoolTestEnvironment.TestAttempt second = environment.send(0, false);
    assertThat(second.connection)
        .as("written at once to the spare connection")
        .isNotNull()
        .isNotSameAs(first.connection);
    for (int i = 0; i < 6; i++) {
      completeAllOpenings(environment);
      environment.send(0, false);
    }
    assertThat(environment.established(0)).isEqualTo(4);
    environment.pools.serverListed(1, false, environment.now - 100 * MS);
    environment.send(1, false);
    assertThat(environment.openingConnections).as("cold: one for the attempt, no spare").hasSize(1);
  }

  @Test
  void treatsBusyAsARefusalOnlyAsTheFirstAnswerOfAConnection() {
    PoolTestEnvironment environment = environment(4, 40, 0, 2);
    PoolTestEnvironment.TestAttempt first = environment.send(0, false);
    completeAllOpenings(environment);
    PoolTestEnvironment.TestAttempt second = environment.send(0, false);
    completeAllOpenings(environment);
    assertThat(second.connection).isNotSameAs(first.connection);
    environment.answerOldest(first.connection);
    environment.answerBusy(second.connection);
    environment.reapClosing();
    assertThat(environment.established())
        .as("the refused connection is closed")
        .containsExactly(first.connection);
    PoolTestEnvironment.TestAttempt third = environment.send(0, false);
    PoolTestEnvironment.TestAttempt fourth = environment.send(0, false);
    completeAllOpenings(environment);
    assertThat(third.connection).isSameAs(first.connection);
    assertThat(fourth.connection)
        .as("no immediate connection beyond the limit")
        .isSameAs(first.connection);
    // Later the server may be busy with work: the connection remains usable.
    environment.answerBusy(first.connection);
    environment.reapClosing();
    assertThat(environment.established()).containsExactly(first.connection);
  }

  @Test
  void closesFreeConnectionsEarlyWhenServersRefuse() {
    PoolTestEnvironment environment = environment(1, 40, 0, 2);
    PoolTestEnvironment.TestAttempt kept = environment.send(1, false);
    completeAllOpenings(environment);
    environment.answerOldest(kept.connection);
    for (int i = 0; i < 20; i++) {
      PoolTestEnvironment.TestAttempt refusedAttempt = environment.send(0, false);
      completeAllOpenings(environment);
      environment.answerBusy(refusedAttempt.connection);
      environment.reapClosing();
    }
    environment.now += 200 * MS;
    environment.pools.tick(environment.now);
    environment.reapClosing();
    assertThat(environment.established()).containsExactly(kept.connection);
    environment.now += 200 * MS;
    environment.pools.tick(environment.now);
    environment.reapClosing();
    assertThat(environment.established())
        .as("closed before the idle timeout of five seconds")
        .isEmpty();
  }

  @Test
  void keepsOnlyTheNodesShareOfFreeConnectionsByRecentUse() {
    PoolTestEnvironment environment =
        new PoolTestEnvironment(PoolTestEnvironment.settings(2, 40, 0, 0.3), new Random(1));
    for (int server = 0; server < 10; server++) {
      environment.pools.serverListed(server, false, Long.MIN_VALUE);
    }
    List<PoolTestEnvironment.TestAttempt> all = new ArrayList<>();
    for (int server = 0; server < 10; server++) {
      all.add(environment.send(server, false));
      completeAllOpenings(environment);
    }
    assertThat(environment.established()).as("connections in use do not count as free").hasSize(10);
    for (PoolTestEnvironment.TestAttempt attempt : all) {
      environment.now += 20 * MS;
      environment.answerOldest(attempt.connection);
    }
    environment.pools.tick(environment.now);
    environment.reapClosing();
    assertThat(environment.established())
        .extracting(connection -> connection.server)
        .containsExactlyInAnyOrder(7L, 8L, 9L);
    // A free connection is reused, and a new one replaces the least recently used free one.
    PoolTestEnvironment.TestAttempt knownAttempt = environment.send(7, false);
    assertThat(knownAttempt.connection).isSameAs(all.get(7).connection);
    environment.answerOldest(knownAttempt.connection);
    environment.now += 20 * MS;
    PoolTestEnvironment.TestAttempt otherAttempt = environment.send(1, false);
    environment.reapClosing();
    completeAllOpenings(environment);
    assertThat(otherAttempt.connection).isNotNull();
    assertThat(environment.established())
        .extracting(connection -> connection.server)
        .containsExactlyInAnyOrder(7L, 9L, 1L);
    // A shorter list leaves fewer free connections to keep, at least one.
    environment.answerOldest(otherAttempt.connection);
    for (int server = 2; server < 10; server++) {
      if (server != 7) {
        environment.pools.serverLeft(server);
      }
    }
    environment.pools.tick(environment.now);
    environment.reapClosing();
    assertThat(environment.established())
        .extracting(connection -> connection.server)
        .containsExactly(1L);
  }

  @Test
  void rejectsInvalidSettingsAndKeepsThePreviousOnes() {
    PoolTestEnvironment environment = environment(4, 20, 0, 1);
    PoolSettings bad = new PoolSettings(0, -1, -1, 4, 0, 1, 1, 0, 0, 1, 0, 1, 0);
    assertThat(bad.validationErrors())
        .containsExactly(
            "connections must be at least 1",
            "leaving must not be negative",
            "streaming must not be negative",
            "sockets must be at least 1",
            "spare must be under connections, which is 0",
            "free_each must be above 0");
    assertThatThrownBy(() -> environment.pools.applySettings(bad)).hasMessageContaining("sockets");
    for (int i = 0; i < 4; i++) {
      environment.send(0, false);
      completeAllOpenings(environment);
    }
    assertThat(environment.established()).hasSize(4);
    environment.pools.applySettings(PoolTestEnvironment.settings(1, 20, 0, 4));
    List.copyOf(environment.established()).forEach(environment::answerOldest);
    environment.pools.tick(environment.now);
    environment.reapClosing();
    assertThat(environment.established()).hasSize(3);
  }

  /** Runs long random sequences of all events; {@link PoolTestEnvironment} checks each action. */
  @Property(tries = 300, seed = "20261201")
  void invariantsHoldForRandomEventOrders(@ForAll long seed) {
    Random random = new Random(seed);
    PoolTestEnvironment environment =
        new PoolTestEnvironment(
            PoolTestEnvironment.settings(1 + random.nextInt(6), 3 + random.nextInt(12), 0), random);
    int servers = 1 + random.nextInt(4);
    for (int i = 0; i < servers; i++) {
      environment.pools.serverListed(i, false, Long.MIN_VALUE);
      environment.connectionLimits.put((long) i, 1 + random.nextInt(6));
    }
    List<PoolTestEnvironment.TestAttempt> all = new ArrayList<>();
    for (int step = 0; step < 600; step++) {
      environment.now += random.nextInt(40) * MS;
      List<PoolTestEnvironment.TestConnection> busy =
          environment.established().stream()
              .filter(connection -> !connection.inFlight.isEmpty())
              .toList();
      long server = random.nextInt(servers);
      switch (random.nextInt(14)) {
        case 0, 1, 2, 3 -> all.add(environment.send(server, random.nextInt(4) == 0));
        case 4, 5 -> {
          if (!environment.openingConnections.isEmpty()) {
            environment.completeOpening(
                environment.openingConnections.get(
                    random.nextInt(environment.openingConnections.size())));
          }
        }
        case 6, 7, 8 -> {
          if (!busy.isEmpty()) {
            PoolTestEnvironment.TestConnection connection = busy.get(random.nextInt(busy.size()));
            if (random.nextInt(4) == 0
                && !connection.streaming
                && !connection.inFlight.peek().abandoned) {
              environment.startStreaming(connection);
            } else {
              environment.answerOldest(connection);
            }
          }
        }
        case 9 -> {
          if (!environment.openAttempts.isEmpty()) {
            List<PoolTestEnvironment.TestAttempt> open = List.copyOf(environment.openAttempts);
            PoolTestEnvironment.TestAttempt attempt = open.get(random.nextInt(open.size()));
            // An attempt whose answer has begun no longer has a time limit.
            if (attempt.connection == null
                || !attempt.connection.streaming
                || attempt.connection.inFlight.peek() != attempt) {
              environment.timeOut(attempt);
            }
          }
        }
        case 10 -> {
          if (!environment.established().isEmpty()) {
            environment.breakConnection(
                environment.established().get(random.nextInt(environment.established().size())));
          }
        }
        case 11 -> {
          if (!environment.openingConnections.isEmpty()) {
            environment.failOpening(environment.openingConnections.get(0), random.nextBoolean());
          }
        }
        case 12 -> {
          environment.pools.tick(environment.now);
          environment.reapClosing();
        }
        default -> {
          switch (random.nextInt(4)) {
            case 0 -> environment.pools.serverListed(server, true, Long.MIN_VALUE);
            case 1 -> environment.pools.serverListed(server, false, environment.now - 5 * MS);
            case 2 -> environment.connectionLimits.put(server, 1 + random.nextInt(6));
            default -> {
              environment.pools.serverLeft(server);
              environment.pools.serverListed(server, false, Long.MIN_VALUE);
            }
          }
        }
      }
      assertThat(environment.pools.socketCount())
          .isEqualTo(
              (int)
                  environment.connections.values().stream()
                      .filter(connection -> !connection.closing)
                      .count());
    }
    // After all pending events, every attempt has settled and every socket is released.
    for (int i = 0;
        i < 100
            && !(environment.openAttempts.isEmpty() && environment.openingConnections.isEmpty());
        i++) {
      environment.now += 10 * MS;
      List.copyOf(environment.openAttempts)
          .forEach(
              attempt -> {
                if (attempt.outcome == null) {
                  environment.timeOut(attempt);
                }
              });
      while (!environment.openingConnections.isEmpty()) {
        environment.failOpening(environment.openingConnections.get(0), false);
      }
      environment.reapClosing();
    }
    List.copyOf(environment.connections.values()).forEach(environment::breakConnection);
    while (!environment.openingConnections.isEmpty()) {
      environment.failOpening(environment.openingConnections.get(0), false);
    }
    assertThat(all).allMatch(attempt -> attempt.outcome != null, "has settled");
    assertThat(environment.pools.socketCount()).isZero();
  }

  /**
   * From idle to full load, each server is asked for at most one connection beyond a limit that it
   * has shown.
   */
  @Property(tries = 100, seed = "20261202")
  void aLoadSurgeStaysWithinTheServerLimits(@ForAll long seed) {
    Random random = new Random(seed);
    PoolTestEnvironment environment =
        new PoolTestEnvironment(PoolTestEnvironment.settings(6, 40, 0), random);
    for (int i = 0; i < 6; i++) {
      environment.pools.serverListed(i, false, Long.MIN_VALUE);
      environment.connectionLimits.put((long) i, 2 + random.nextInt(4));
    }
    for (int i = 0; i < 400; i++) {
      environment.now += MS / 4;
      environment.send(random.nextInt(6), random.nextInt(10) == 0);
      if (random.nextInt(3) == 0 && !environment.openingConnections.isEmpty()) {
        environment.completeOpening(environment.openingConnections.get(0));
      }
      for (PoolTestEnvironment.TestConnection connection : List.copyOf(environment.established())) {
        if (!connection.inFlight.isEmpty() && random.nextInt(8) == 0) {
          environment.answerOldest(connection);
        }
      }
    }
    while (!environment.openingConnections.isEmpty()) {
      environment.completeOpening(environment.openingConnections.get(0));
    }
    for (long server = 0; server < 6; server++) {
      assertThat(environment.established(server))
          .isLessThanOrEqualTo(environment.connectionLimits.get(server));
    }
    // Connections that were opening together when the limit showed, plus one probe after 0.1 s.
    assertThat(environment.refusedHandshakes)
        .isLessThanOrEqualTo(6 * (environment.settings.openingPerServer() + 1));
    assertThat(environment.maxSocketsSeen).isLessThanOrEqualTo(40);
  }
}
