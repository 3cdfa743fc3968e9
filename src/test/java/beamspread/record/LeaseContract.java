package beamspread.record;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.lease.FencingToken;
import beamspread.lease.Lease;
import beamspread.lease.LeaseHeldException;
import beamspread.lease.LeaseStore;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What every store of leases must do, whatever database it is in. */
abstract class LeaseContract {
  static final String NAME = "rollout/main";
  private static final long LONG_MILLIS = 60_000;
  private static final int SCHEDULES = 60;

  /** Guards against waiting without end for one that could not open its store. */
  private static final int OPENED_WITHIN_SECONDS = 10;

  /** The leases in the one database of the test, opened anew. */
  final LeaseStore open() throws Exception {
    return JdbcLeases.open(store());
  }

  /** A store of that database, opened anew. */
  abstract Store store() throws Exception;

  @Test
  void oneOwnsItAndTheNextOneHasAHigherToken() throws Exception {
    try (LeaseStore store = open()) {
      Lease first = store.acquire(NAME, "s1", "anna", LONG_MILLIS, false);
      assertThat(first.epoch()).isEqualTo(1);
      assertThat(first.held()).isTrue();
      assertThat(store.acquire(NAME, "s1", "anna", LONG_MILLIS, false).epoch())
          .as("asked again, since the answer was lost")
          .isEqualTo(1);
      assertThatThrownBy(() -> store.acquire(NAME, "s2", "bela", LONG_MILLIS, false))
          .isInstanceOfSatisfying(
              LeaseHeldException.class,
              held -> assertThat(held).hasMessageContainingAll(NAME, "anna", "token 1"));
      assertThat(store.release(first.token(), "s2")).as("somebody else's").isFalse();
      assertThat(store.release(first.token(), "s1")).isTrue();
      assertThat(store.release(first.token(), "s1")).isFalse();
      assertThat(store.release(first.token(), "")).as("held by nobody").isFalse();
      assertThat(store.find(NAME).orElseThrow().held()).isFalse();
      assertThat(store.acquire(NAME, "s2", "bela", LONG_MILLIS, false).epoch()).isEqualTo(2);
      assertThat(store.renew(first.token(), "s1", LONG_MILLIS)).isFalse();
    }
    try (LeaseStore store = open()) {
      assertThat(store.all()).extracting(Lease::described).containsExactly("bela");
      Lease taken = store.acquire(NAME, "s3", "cili", LONG_MILLIS, true);
      assertThat(taken.epoch()).isEqualTo(3);
      assertThat(store.renew(new FencingToken(NAME, 2), "s2", LONG_MILLIS)).isFalse();
      assertThat(store.renew(taken.token(), "s3", LONG_MILLIS)).isTrue();
      assertThat(store.renew(taken.token(), "s2", LONG_MILLIS)).isFalse();
    }
  }

  @Test
  void oneThatHasExpiredIsFreeAndNoRenewalRevivesIt() throws Exception {
    try (LeaseStore store = open()) {
      Lease lease = store.acquire(NAME, "s1", "anna", 1, false);
      while (store.find(NAME).orElseThrow().held()) {
        Thread.onSpinWait();
      }
      assertThat(store.renew(lease.token(), "s1", LONG_MILLIS)).isFalse();
      assertThat(store.acquire(NAME, "s1", "anna", LONG_MILLIS, false).epoch())
          .as("even its own holder begins anew")
          .isEqualTo(2);
    }
  }

  @Test
  void ofManyThatAskInTheSameMomentOneGetsIt() throws Exception {
    int many = 8;
    ExecutorService threads = Executors.newFixedThreadPool(many);
    CyclicBarrier together = new CyclicBarrier(many);
    try {
      for (int round = 0; round < 5; round++) {
        String name = "round/" + round;
        List<Future<Boolean>> asked = new ArrayList<>();
        for (int i = 0; i < many; i++) {
          String holder = "s" + i;
          Callable<Boolean> call =
              () -> {
                try (LeaseStore store = open()) {
                  together.await(OPENED_WITHIN_SECONDS, TimeUnit.SECONDS);
                  store.acquire(name, holder, holder, LONG_MILLIS, false);
                  return true;
                } catch (LeaseHeldException e) {
                  return false;
                }
              };
          asked.add(threads.submit(call));
        }
        int got = 0;
        for (Future<Boolean> one : asked) {
          got += one.get() ? 1 : 0;
        }
        assertThat(got).isEqualTo(1);
      }
    } finally {
      threads.shutdownNow();
    }
  }

  /**
   * Guards against two owners with one token: what an owner is told is what it has written, also if
   * another one takes the lease over before the answer is there.
   */
  @Test
  void aTakeOverRightBehindTheCommitDoesNotChangeWhatTheFirstOwnerIsTold() throws Exception {
    for (boolean isNew : new boolean[] {true, false}) {
      String name = "new/" + isNew;
      try (LeaseStore other = open()) {
        long before = isNew ? 0 : other.acquire(name, "s0", "cili", LONG_MILLIS, false).epoch();
        List<Lease> overtaking = new ArrayList<>();
        InterposedStore.Action takeOver =
            () -> overtaking.add(other.acquire(name, "s2", "bela", LONG_MILLIS, true));
        try (LeaseStore store = JdbcLeases.open(InterposedStore.afterCommit(store(), takeOver))) {
          Lease told = store.acquire(name, "s1", "anna", LONG_MILLIS, true);
          assertThat(told.holder()).isEqualTo("s1");
          assertThat(told.epoch()).isEqualTo(before + 1);
          assertThat(overtaking).extracting(Lease::epoch).containsExactly(before + 2);
          assertThat(store.renew(told.token(), "s1", LONG_MILLIS)).isFalse();
          assertThat(store.release(told.token(), "s1")).isFalse();
          assertThat(other.find(name).orElseThrow().holder()).isEqualTo("s2");
        }
      }
    }
  }

  /** The same for an operator who raises a lease. */
  @Test
  void aTakeOverRightBehindTheCommitDoesNotChangeWhatARaiseIsTold() throws Exception {
    try (LeaseStore other = open()) {
      InterposedStore.Action takeOver = () -> other.acquire(NAME, "s2", "bela", LONG_MILLIS, true);
      try (LeaseStore store = JdbcLeases.open(InterposedStore.afterCommit(store(), takeOver))) {
        Lease raised = store.raise(NAME, 40);
        assertThat(raised.held()).isFalse();
        assertThat(raised.epoch()).isEqualTo(40);
        assertThat(other.find(NAME).orElseThrow().epoch()).isEqualTo(41);
      }
    }
  }

  /** Two to four operators whose calls to the database come in every order that the seeds draw. */
  @Test
  void noTwoOwnersGetOneTokenInWhateverOrderTheirCallsCome() throws Exception {
    for (int seed = 0; seed < SCHEDULES; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      String name = "schedule/" + seed;
      int operators = 2 + random.nextInt(3);
      List<Lease> given = new CopyOnWriteArrayList<>();
      try (InterleavedCalls calls = new InterleavedCalls()) {
        for (int i = 0; i < operators; i++) {
          String holder = "s" + i;
          Store interleaved = calls.through(store());
          calls.start(
              () -> {
                try (LeaseStore store = JdbcLeases.open(interleaved)) {
                  Lease lease = store.acquire(name, holder, holder, LONG_MILLIS, true);
                  assertThat(lease.holder()).isEqualTo(holder);
                  given.add(lease);
                  store.renew(lease.token(), holder, LONG_MILLIS);
                  store.release(lease.token(), holder);
                }
              });
        }
        calls.runAll(random);
      }
      assertThat(given).as("seed %d", seed).extracting(Lease::epoch).doesNotHaveDuplicates();
      assertThat(given).as("seed %d", seed).hasSize(operators);
    }
  }

  @Test
  void aStoreThatWasPutBackIsRaisedAboveWhatWasSeen() throws Exception {
    try (LeaseStore store = open()) {
      store.acquire(NAME, "s1", "anna", LONG_MILLIS, false);
      Lease raised = store.raise(NAME, 40);
      assertThat(raised.held()).isFalse();
      assertThat(store.acquire(NAME, "s2", "bela", LONG_MILLIS, false).epoch()).isEqualTo(41);
      assertThat(store.raise(NAME, 3).epoch()).as("never down").isEqualTo(41);
      assertThat(store.raise("new/one", 5).epoch()).isEqualTo(5);
    }
  }

  @Test
  void whatMakesNoSenseIsRefused() throws Exception {
    try (LeaseStore store = open()) {
      assertThat(store.find("no/such")).isEmpty();
      for (String bad : new String[] {"", "a b", "x".repeat(200)}) {
        assertThatThrownBy(() -> store.acquire(bad, "s1", "anna", LONG_MILLIS, false))
            .isInstanceOf(IllegalArgumentException.class);
      }
      assertThatThrownBy(() -> store.acquire(NAME, "s1", "ä".repeat(129), LONG_MILLIS, false))
          .hasMessageContaining("1 to 256 bytes, has 258");
      assertThat(store.all()).isEmpty();
    }
  }
}
