package beamspread.node.handover;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.Hashes;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an id that two processes of one node both take for free. */
class SharedRequestIdsTest {
  private static final long SECOND = 1_000_000_000L;
  private static final long KEEP = 30 * SECOND;
  private static final long SEED = 20261205;

  @TempDir Path folder;

  private final AtomicLong clock = new AtomicLong(5_000 * SECOND);

  private SharedRequestIds open() throws IOException {
    return SharedRequestIds.open(folder.resolve("ids"), clock::get);
  }

  private static IdClaim claim(SharedRequestIds ids, String id) {
    return ids.claim(Hashes.of(id), KEEP, false);
  }

  private static IdClaim.Outcome outcome(SharedRequestIds ids, String id) {
    return claim(ids, id).outcome();
  }

  @Test
  void anIdThatOneProcessHasIsInUseAtTheOtherUntilItIsReleased() throws IOException {
    SharedRequestIds first = open();
    SharedRequestIds second = open();
    for (SharedRequestIds[] pair : new SharedRequestIds[][] {{first, second}, {second, first}}) {
      IdClaim claim = claim(pair[0], "write");
      assertThat(claim.outcome()).isEqualTo(IdClaim.Outcome.CLAIMED);
      assertThat(outcome(pair[1], "write")).isEqualTo(IdClaim.Outcome.IN_USE);
      assertThat(outcome(pair[0], "write")).isEqualTo(IdClaim.Outcome.IN_USE);
      claim.release();
      claim.release();
      IdClaim again = claim(pair[1], "write");
      assertThat(again.outcome()).isEqualTo(IdClaim.Outcome.CLAIMED);
      claim.release();
      assertThat(outcome(pair[0], "write"))
          .as("released by its owner alone")
          .isEqualTo(IdClaim.Outcome.IN_USE);
      again.release();
    }
  }

  @Test
  void whatAKilledProcessHasClaimedHoldsForItsTime() throws IOException {
    claim(open(), "write");
    SharedRequestIds successor = open();
    assertThat(outcome(successor, "write")).isEqualTo(IdClaim.Outcome.IN_USE);
    clock.addAndGet(KEEP - SECOND);
    assertThat(outcome(successor, "write")).isEqualTo(IdClaim.Outcome.IN_USE);
    clock.addAndGet(2 * SECOND);
    assertThat(outcome(successor, "write")).isEqualTo(IdClaim.Outcome.CLAIMED);
  }

  @Test
  void requestsThatMayBeRepeatedAreReleasedOnceNoProcessHasThem() throws IOException {
    SharedRequestIds killed = open();
    claim(killed, "write");
    killed.claim(Hashes.of("read"), KEEP, true);
    SharedRequestIds successor = open();
    assertThat(outcome(successor, "read")).isEqualTo(IdClaim.Outcome.IN_USE);
    successor.releaseRepeatable();
    assertThat(outcome(successor, "read")).isEqualTo(IdClaim.Outcome.CLAIMED);
    assertThat(outcome(successor, "write")).isEqualTo(IdClaim.Outcome.IN_USE);
  }

  @Test
  void aFullBucketHasNoRoomUntilTheTimeOfOneIsOver() throws IOException {
    SharedRequestIds ids = open();
    for (int i = 0; i < SharedRequestIds.WORDS_PER_BUCKET; i++) {
      long hash = ((long) i + 1) << 20;
      assertThat(ids.claim(hash, KEEP, false).outcome()).isEqualTo(IdClaim.Outcome.CLAIMED);
    }
    long further = 99L << 20;
    assertThat(ids.claim(further, KEEP, false).outcome()).isEqualTo(IdClaim.Outcome.NO_ROOM);
    assertThat(ids.claim(further + 1, KEEP, false).outcome())
        .as("another bucket")
        .isEqualTo(IdClaim.Outcome.CLAIMED);
    clock.addAndGet(2 * KEEP);
    assertThat(ids.claim(further, KEEP, false).outcome()).isEqualTo(IdClaim.Outcome.CLAIMED);
  }

  @Test
  void aDamagedFileStaysUsableAndIsNeverCut() throws IOException {
    Random random = new Random(SEED);
    byte[] noise = new byte[SharedRequestIds.BUCKETS * SharedRequestIds.WORDS_PER_BUCKET * 8 + 77];
    random.nextBytes(noise);
    Path file = Files.write(folder.resolve("ids"), noise);
    SharedRequestIds first = open();
    SharedRequestIds second = open();
    int claimed = 0;
    int claims = 1000;
    for (int i = 0; i < claims; i++) {
      if (outcome(first, "w" + i) == IdClaim.Outcome.CLAIMED) {
        claimed++;
        assertThat(outcome(second, "w" + i)).isEqualTo(IdClaim.Outcome.IN_USE);
      }
    }
    assertThat(claimed).as("seed %d", SEED).isEqualTo(claims);
    assertThat(Files.size(file)).isEqualTo(noise.length);
  }

  /** Each round all claim the same ids, most of them in the same moment. */
  @Test
  void ofSeveralThatClaimAnIdInTheSameMomentOneGetsItAtMost() throws Exception {
    int processes = 4;
    int idCount = 200;
    int rounds = 100;
    ExecutorService threads = Executors.newFixedThreadPool(processes);
    CyclicBarrier together = new CyclicBarrier(processes);
    int got = 0;
    try {
      for (int round = 0; round < rounds; round++) {
        String prefix = "round-" + round + "-";
        List<Future<boolean[]>> claims = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
          SharedRequestIds ids = open();
          Callable<boolean[]> call =
              () -> {
                boolean[] mine = new boolean[idCount];
                together.await();
                for (int id = 0; id < idCount; id++) {
                  IdClaim claim = claim(ids, prefix + id);
                  mine[id] = claim.outcome() == IdClaim.Outcome.CLAIMED;
                }
                return mine;
              };
          claims.add(threads.submit(call));
        }
        int[] owners = new int[idCount];
        for (Future<boolean[]> claim : claims) {
          boolean[] mine = claim.get();
          for (int id = 0; id < idCount; id++) {
            owners[id] += mine[id] ? 1 : 0;
          }
        }
        for (int owner : owners) {
          assertThat(owner).isLessThanOrEqualTo(1);
          got += owner;
        }
        clock.addAndGet(2 * KEEP);
      }
    } finally {
      threads.shutdownNow();
    }
    assertThat(got).as("hardly any id went to nobody").isGreaterThan(idCount * rounds * 9 / 10);
  }
}
