package beamspread.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class SheetStoreTest {
  private static final long SECOND = 1_000_000_000L;

  /** Sheets in memory, on a disk that can stand still or fail. */
  private static final class Memory implements Sheets {
    private final Map<String, Sheet> sheets = new HashMap<>();
    private final List<Integer> batches = new ArrayList<>();
    private final CountDownLatch entered = new CountDownLatch(1);
    private final CountDownLatch goesOn = new CountDownLatch(1);
    private volatile boolean still;
    private volatile SheetsException fault;
    private long receipts;

    @Override
    public List<Write.Answer> commit(List<Write> batch) throws SheetsException {
      entered.countDown();
      if (still) {
        await(goesOn);
      }
      if (fault != null) {
        throw fault;
      }
      List<Write.Answer> answers = new ArrayList<>();
      synchronized (this) {
        batches.add(batch.size());
        for (Write write : batch) {
          sheets.put(write.key(), new Sheet(write.value(), 1));
          answers.add(Write.Answer.stored(++receipts));
        }
      }
      return answers;
    }

    @Override
    public synchronized Optional<Sheet> read(String key) {
      return Optional.ofNullable(sheets.get(key));
    }

    @Override
    public void close() {
      still = false;
      goesOn.countDown();
    }

    private static void await(CountDownLatch latch) {
      try {
        assertThat(latch.await(40, TimeUnit.SECONDS)).isTrue();
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  private final Memory memory = new Memory();

  private SheetStore store(long stallNanos) {
    return new SheetStore(memory, new WriteDesk.Limits(100, 50, stallNanos));
  }

  private static CompletableFuture<Write.Answer> write(SheetStore store, String id, long nanos) {
    CompletableFuture<Write.Answer> answer = new CompletableFuture<>();
    store.write(
        new Write(id, false, "key-" + id, new byte[] {1}, System.nanoTime() + nanos),
        told -> assertThat(answer.complete(told)).as("told once").isTrue());
    return answer;
  }

  private static Write.Answer told(CompletableFuture<Write.Answer> answer) throws Exception {
    return answer.get(30, TimeUnit.SECONDS);
  }

  @Test
  void whatComesWhileTheDiskIsWaitedForGoesTogether() throws Exception {
    memory.still = true;
    try (SheetStore store = store(60 * SECOND)) {
      List<CompletableFuture<Write.Answer>> all = new ArrayList<>();
      all.add(write(store, "first", 30 * SECOND));
      Memory.await(memory.entered);
      for (int i = 0; i < 20; i++) {
        all.add(write(store, "w" + i, 30 * SECOND));
      }
      memory.still = false;
      memory.goesOn.countDown();
      for (CompletableFuture<Write.Answer> one : all) {
        assertThat(told(one).fate()).isEqualTo(Write.Fate.STORED);
      }
      assertThat(memory.batches).containsExactly(1, 20);
      assertThat(store.read("key-w3")).isPresent();
    }
  }

  @Test
  void whileTheDiskStandsStillAllIsAnsweredInItsTimeAndReadsGoOn() throws Exception {
    memory.still = true;
    SheetStore store = store(60 * SECOND);
    long began = System.nanoTime();
    CompletableFuture<Write.Answer> out = write(store, "out", SECOND / 5);
    Memory.await(memory.entered);
    CompletableFuture<Write.Answer> waits = write(store, "waits", SECOND / 5);
    assertThat(told(waits).fate()).as("it never began").isEqualTo(Write.Fate.REFUSED);
    assertThat(told(out).fate()).as("it may yet be").isEqualTo(Write.Fate.UNKNOWN);
    assertThat(System.nanoTime() - began).isGreaterThanOrEqualTo(SECOND / 5);
    assertThat(store.read("key-out")).isEmpty();
    memory.close();
    store.close();
    assertThat(memory.read("key-out")).as("and it was").isPresent();
  }

  @Test
  void aStandingDiskRefusesAtOnce() throws Exception {
    memory.still = true;
    SheetStore store = store(1);
    write(store, "out", 30 * SECOND);
    Memory.await(memory.entered);
    CompletableFuture<Write.Answer> next = write(store, "next", 30 * SECOND);
    assertThat(next).as("on the caller's thread").isDone();
    assertThat(told(next).fate()).isEqualTo(Write.Fate.REFUSED);
    memory.close();
    store.close();
  }

  @Test
  void aFullDiskIsHarmlessAndTheStoreGoesOn() throws Exception {
    memory.fault = new SheetsException("no room left", true, null);
    try (SheetStore store = store(60 * SECOND)) {
      assertThat(told(write(store, "a", 30 * SECOND)))
          .isEqualTo(Write.Answer.refused("no room left"));
      memory.fault = null;
      assertThat(told(write(store, "b", 30 * SECOND)).fate()).isEqualTo(Write.Fate.STORED);
    }
  }

  @Test
  void aDiskThatFailsInACommitStopsTheWriterForGood() throws Exception {
    memory.fault = new SheetsException("fsync failed", false, null);
    try (SheetStore store = store(60 * SECOND)) {
      assertThat(told(write(store, "a", 30 * SECOND)).fate()).isEqualTo(Write.Fate.UNKNOWN);
      memory.fault = null;
      // The desk is stopped before the first is told: nothing gets through any more.
      Write.Answer after = told(write(store, "b", 30 * SECOND));
      assertThat(after.fate()).isEqualTo(Write.Fate.REFUSED);
      assertThat(after.reason()).contains("fsync failed");
    }
    assertThat(memory.batches).isEmpty();
  }

  @Test
  void anEndRefusesWhatWaitsAndLetsTheTransactionEnd() throws Exception {
    memory.still = true;
    SheetStore store = store(60 * SECOND);
    CompletableFuture<Write.Answer> out = write(store, "out", 30 * SECOND);
    Memory.await(memory.entered);
    CompletableFuture<Write.Answer> waits = write(store, "waits", 30 * SECOND);
    Thread end = new Thread(store::close);
    end.start();
    assertThat(told(waits).fate()).isEqualTo(Write.Fate.REFUSED);
    memory.goesOn.countDown();
    end.join();
    assertThat(told(out).fate()).isEqualTo(Write.Fate.STORED);
  }
}
