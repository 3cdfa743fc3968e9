package beamspread.record;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.standin.postgres.PgFault;
import beamspread.standin.postgres.PgServer;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The record in PostgreSQL, against the stand-in. */
class PostgresRecordTest extends RecordContract {
  private PgServer server;

  @BeforeEach
  void startServer() throws Exception {
    server = new PgServer("fleet", "päss");
  }

  @AfterEach
  void stopServer() throws Exception {
    server.close();
  }

  @Override
  FleetRecord open(String agent) throws Exception {
    return JdbcRecord.postgres(server.url(), "fleet", "päss", agent, 1000);
  }

  @Test
  void aWrongPasswordIsRefused() {
    assertThatThrownBy(() -> JdbcRecord.postgres(server.url(), "fleet", "guess", "a1", 1000))
        .isInstanceOf(RecordException.class)
        .hasMessageContaining("password authentication failed");
    assertThatThrownBy(() -> JdbcRecord.postgres(server.url(), "mallory", "päss", "a1", 1000))
        .hasMessageContaining("password authentication failed");
  }

  @ParameterizedTest
  @EnumSource(
      value = PgFault.Kind.class,
      names = {"CUT_BEFORE", "CUT_AFTER", "ERROR_AFTER", "ERROR_BEFORE"})
  void aCommitWhoseFateIsUnknownIsWrittenAgain(PgFault.Kind kind) throws Exception {
    try (FleetRecord record = open("a1")) {
      server.inject(PgFault.on(kind, "commit"));
      record.commit(List.of(operation("op1", 1), step("op1", "n1", 1)));
      assertThat(server.faultsDone()).isTrue();
      assertThat(record.steps("op1")).hasSize(1);
      assertThat(record.operations(9)).hasSize(1);
    }
  }

  @Test
  void aServerThatStaysAwayIsToldAndOneThatComesBackIsUsedAgain() throws Exception {
    try (FleetRecord record = open("a1")) {
      record.commit(List.of(operation("op1", 1)));
      server.cut(true);
      assertThatThrownBy(() -> record.commit(List.of(operation("op2", 2))))
          .isInstanceOf(RecordException.class)
          .hasMessageContaining("could not be written");
      server.cut(false);
      record.commit(List.of(operation("op3", 3)));
      assertThat(record.operations(9)).extracting(Rows.Operation::id).containsExactly("op3", "op1");
    }
  }

  @Test
  void aServerThatStallsIsWaitedForNoLongerThanTheLimit() throws Exception {
    try (FleetRecord record = open("a1")) {
      server.inject(PgFault.on(PgFault.Kind.STALL, "insert into operation"));
      server.inject(PgFault.on(PgFault.Kind.STALL, "insert into operation"));
      long began = System.nanoTime();
      assertThatThrownBy(() -> record.commit(List.of(operation("op1", 1))))
          .isInstanceOf(RecordException.class);
      assertThat(System.nanoTime() - began).isLessThan(15_000_000_000L);
      server.release();
      record.commit(List.of(operation("op2", 2)));
      assertThat(record.operation("op2")).isPresent();
    }
  }

  @Test
  void everyAcknowledgedStepSurvivesCutsAtRandomStatements() throws Exception {
    long seed = Long.getLong("seed", 20261202L);
    System.out.println("seed " + seed);
    Random random = new Random(seed);
    List<String> acknowledged = new ArrayList<>();
    PgFault.Kind[] kinds = {
      PgFault.Kind.CUT_BEFORE, PgFault.Kind.CUT_AFTER, PgFault.Kind.ERROR_AFTER
    };
    String[] places = {
      "begin", "insert into operation", "insert into step", "update step", "commit"
    };
    int refused = 0;
    try (FleetRecord record = open("a1")) {
      for (int i = 0; i < 60; i++) {
        for (int faults = random.nextInt(3); faults > 0; faults--) {
          server.inject(
              PgFault.on(
                  kinds[random.nextInt(kinds.length)], places[random.nextInt(places.length)]));
        }
        String id = "op" + i;
        try {
          record.commit(
              List.of(
                  operation(id, i),
                  step(id, "n1", 1),
                  new RecordChange.StepEnded(id, "n1", 1, "succeeded", "", i)));
          acknowledged.add(id);
        } catch (RecordException e) {
          refused++;
        }
      }
    }
    assertThat(refused).isPositive();
    assertThat(acknowledged).hasSizeGreaterThan(10);
    try (FleetRecord record = open("a1")) {
      for (String id : acknowledged) {
        assertThat(record.steps(id)).extracting(Rows.Step::outcome).containsExactly("succeeded");
      }
      // What was refused may be there, but whole or not at all.
      for (Rows.Operation operation : record.operations(100)) {
        assertThat(record.steps(operation.id())).hasSize(1);
      }
    }
  }

  @Test
  void theStandInSpeaksSimpleQueriesTransactionsStatesAndCancel() throws Exception {
    try (Connection connection =
            DriverManager.getConnection(server.url() + "?preferQueryMode=simple", "fleet", "päss");
        Statement statement = connection.createStatement()) {
      statement.execute("CREATE TABLE t (k TEXT PRIMARY KEY, v BIGINT NOT NULL)");
      assertThat(statement.executeUpdate("INSERT INTO t VALUES ('a', 1), ('b', 2)")).isEqualTo(2);
      connection.setAutoCommit(false);
      statement.executeUpdate("UPDATE t SET v = 5 WHERE k = 'a'");
      assertThatThrownBy(() -> statement.executeUpdate("INSERT INTO t VALUES ('b', 3)"))
          .isInstanceOfSatisfying(
              SQLException.class, e -> assertThat(e.getSQLState()).isEqualTo("23505"));
      assertThatThrownBy(() -> statement.executeQuery("SELECT v FROM t"))
          .isInstanceOfSatisfying(
              SQLException.class, e -> assertThat(e.getSQLState()).isEqualTo("25P02"));
      connection.rollback();
      try (ResultSet rows = statement.executeQuery("SELECT v FROM t WHERE k = 'a'")) {
        assertThat(rows.next()).isTrue();
        assertThat(rows.getLong(1)).isEqualTo(1);
      }
      connection.rollback();
      server.inject(PgFault.on(PgFault.Kind.STALL, "select v"));
      Thread cancelling =
          new Thread(
              () -> {
                try {
                  while (!server.faultsDone()) {
                    Thread.sleep(2);
                  }
                  statement.cancel();
                } catch (SQLException | InterruptedException e) {
                  throw new IllegalStateException(e);
                }
              });
      cancelling.start();
      assertThatThrownBy(() -> statement.executeQuery("SELECT v FROM t"))
          .isInstanceOfSatisfying(
              SQLException.class, e -> assertThat(e.getSQLState()).isEqualTo("57014"));
      cancelling.join();
      connection.rollback();
      assertThatThrownBy(() -> statement.executeQuery("SELECT v FROM nowhere"))
          .isInstanceOfSatisfying(
              SQLException.class, e -> assertThat(e.getSQLState()).isEqualTo("42P01"));
    }
  }

  @Test
  void theStandInBindsBinaryValuesAndSuspendsPortals() throws Exception {
    try (Connection connection = DriverManager.getConnection(server.url(), "fleet", "päss")) {
      try (Statement statement = connection.createStatement()) {
        statement.execute("CREATE TABLE t (k TEXT PRIMARY KEY, v BIGINT NOT NULL)");
      }
      connection.setAutoCommit(false);
      try (PreparedStatement insert =
          connection.prepareStatement("INSERT INTO t (k, v) VALUES (?, ?)")) {
        for (int i = 0; i < 30; i++) {
          insert.setString(1, "k" + i);
          insert.setLong(2, i * 1_000_000_000_000L);
          assertThat(insert.executeUpdate()).isEqualTo(1);
        }
      }
      connection.commit();
      try (PreparedStatement select =
          connection.prepareStatement("SELECT v FROM t WHERE v >= ? ORDER BY v")) {
        select.setFetchSize(7);
        for (int round = 0; round < 8; round++) {
          select.setLong(1, 0);
          long expected = 0;
          try (ResultSet rows = select.executeQuery()) {
            while (rows.next()) {
              assertThat(rows.getLong(1)).isEqualTo(expected++ * 1_000_000_000_000L);
            }
          }
          assertThat(expected).isEqualTo(30);
        }
      }
    }
  }
}
