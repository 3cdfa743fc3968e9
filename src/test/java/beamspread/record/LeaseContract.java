package beamspread.record;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.lease.FencingToken;
import beamspread.lease.Lease;
import beamspread.lease.LeaseHeldException;
import beamspread.lease.LeaseStore;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
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

  /** Guards against waiting without end for one that could not open its store. */
  private static final int OPENED_WITHIN_SECONDS = 10;

  /** The leases in the one database of the test, opened anew. */
  abstract LeaseStore open() throws Exception;

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
      assertThat(store.release(first.token())).isTrue();
      assertThat(store.release(first.token())).isFalse();
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
