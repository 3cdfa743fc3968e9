package beamspread.record;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.lease.Lease;
import beamspread.lease.LeaseStore;
import beamspread.lease.LeaseStoreException;
import beamspread.standin.postgres.PgFault;
import beamspread.standin.postgres.PgServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Leases in PostgreSQL, against the stand-in. */
class PostgresLeasesTest extends LeaseContract {
  private PgServer server;

  @BeforeEach
  void startServer() throws Exception {
    server = new PgServer("fleet", "secret");
  }

  @AfterEach
  void stopServer() throws Exception {
    server.close();
  }

  @Override
  Store store() {
    return new PostgresStore(server.url(), "fleet", "secret", 1000);
  }

  @ParameterizedTest
  @EnumSource(
      value = PgFault.Kind.class,
      names = {"CUT_BEFORE", "CUT_AFTER", "ERROR_AFTER", "ERROR_BEFORE"})
  void anAnswerThatIsLostMakesNoSecondOwner(PgFault.Kind kind) throws Exception {
    try (LeaseStore store = open()) {
      server.inject(PgFault.on(kind, "commit"));
      Lease lease = store.acquire(NAME, "s1", "anna", 60_000, false);
      assertThat(server.faultsDone()).isTrue();
      assertThat(lease.holder()).isEqualTo("s1");
      assertThat(lease.epoch()).isEqualTo(1);
      server.inject(PgFault.on(kind, "commit"));
      assertThat(store.renew(lease.token(), "s1", 60_000)).isTrue();
    }
  }

  @Test
  void aStoreThatIsAwayGivesNoLease() throws Exception {
    try (LeaseStore store = open()) {
      Lease lease = store.acquire(NAME, "s1", "anna", 60_000, false);
      server.cut(true);
      assertThatThrownBy(() -> store.acquire(NAME, "s2", "bela", 60_000, true))
          .isInstanceOf(LeaseStoreException.class);
      assertThatThrownBy(() -> store.renew(lease.token(), "s1", 60_000))
          .isInstanceOf(LeaseStoreException.class);
      server.cut(false);
      assertThat(renewsInTheEnd(store, lease)).isTrue();
    }
  }

  /** As a holder does, which asks again: the connections that broke are found one by one. */
  private static boolean renewsInTheEnd(LeaseStore store, Lease lease) throws Exception {
    try {
      return store.renew(lease.token(), "s1", 60_000);
    } catch (LeaseStoreException e) {
      return store.renew(lease.token(), "s1", 60_000);
    }
  }
}
