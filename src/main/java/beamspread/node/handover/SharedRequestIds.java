package beamspread.node.handover;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.LongSupplier;

/**
 * Ids in a file that all processes of one node have mapped: a table of atomic words, so that no
 * process waits for another, and what one has claimed holds after it was killed. A word has a part
 * of the id's hash and the time until when the claim holds; one whose time is over is free. The
 * times are those of {@link System#nanoTime()}, which on Linux counts from the machine's start in
 * all processes; what an earlier start or a damaged file has left holds for an hour at most.
 *
 * <p>An id belongs to one bucket. Two processes that claim it in the same moment can write to two
 * words of the bucket; each looks again after it has written, so that not both go on.
 */
public final class SharedRequestIds implements RequestIds {
  static final int BUCKETS = 2048;
  static final int WORDS_PER_BUCKET = 16;
  private static final int FILE_BYTES = BUCKETS * WORDS_PER_BUCKET * Long.BYTES;
  private static final long FREE = 0;

  /** How often a claim begins anew because another process has changed its bucket meanwhile. */
  private static final int MAX_TRIES = 8;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Longest time of a claim in seconds. */
  private static final int MAX_KEPT_SECONDS = 3600;

  /** The lowest bits of a word: when its time is over, in seconds, without the higher bits. */
  private static final long EXPIRY_MASK = 0xFFFF;

  /** Whether the request may be repeated. */
  private static final long REPEATABLE_BIT = 0x1_0000;

  private static final long TAG_MASK = ~(EXPIRY_MASK | REPEATABLE_BIT);

  private static final VarHandle WORDS =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private final ByteBuffer table;
  private final LongSupplier clock;

  private SharedRequestIds(ByteBuffer table, LongSupplier clock) {
    this.table = table;
    this.clock = clock;
  }

  /** Maps the file, and creates it if necessary. */
  static SharedRequestIds open(Path file) throws IOException {
    return open(file, System::nanoTime);
  }

  /** Maps the file with another clock, which all that map it have to share. */
  static SharedRequestIds open(Path file, LongSupplier clock) throws IOException {
    try (FileChannel channel =
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      fill(channel);
      return new SharedRequestIds(
          channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES), clock);
    }
  }

  /**
   * Writes what is missing of the file, so that each of its pages is on the disk before it is used.
   * A file is never cut, since another process may have mapped it.
   */
  private static void fill(FileChannel channel) throws IOException {
    long size = channel.size();
    if (size < FILE_BYTES) {
      ByteBuffer missing = ByteBuffer.allocate((int) (FILE_BYTES - size));
      while (missing.hasRemaining()) {
        channel.write(missing, size + missing.position());
      }
    }
  }

  @Override
  public IdClaim claim(long idHash, long keepNanos, boolean repeatable) {
    long now = clock.getAsLong() / NANOS_PER_SECOND;
    long seconds = Math.min(MAX_KEPT_SECONDS, keepNanos / NANOS_PER_SECOND + 1);
    long word = tag(idHash) | (repeatable ? REPEATABLE_BIT : 0) | ((now + seconds) & EXPIRY_MASK);
    int bucket = (int) Math.floorMod(idHash, (long) BUCKETS) * WORDS_PER_BUCKET;
    for (int i = 0; i < MAX_TRIES; i++) {
      if (holds(bucket, word, -1, now)) {
        return IdClaim.IN_USE;
      }
      int index = freeIndex(bucket, now);
      if (index < 0) {
        return IdClaim.NO_ROOM;
      }
      long seen = word(index);
      if (!isFree(seen, now) || !replace(index, seen, word)) {
        continue;
      }
      if (holds(bucket, word, index, now)) {
        replace(index, word, FREE);
        return IdClaim.IN_USE;
      }
      return IdClaim.claimed(() -> replace(index, word, FREE));
    }
    return IdClaim.NO_ROOM;
  }

  /** Frees the ids of requests that may be repeated, once no process is left that has them open. */
  void releaseRepeatable() {
    for (int index = 0; index < BUCKETS * WORDS_PER_BUCKET; index++) {
      long word = word(index);
      if ((word & REPEATABLE_BIT) != 0) {
        replace(index, word, FREE);
      }
    }
  }

  /** The part of a hash by which an id is recognized; never that of a free word. */
  private static long tag(long idHash) {
    long tag = idHash & TAG_MASK;
    return tag == 0 ? ~TAG_MASK + 1 : tag;
  }

  /** Returns whether a word of the bucket other than this one has the id. */
  private boolean holds(int bucket, long wanted, int except, long now) {
    for (int index = bucket; index < bucket + WORDS_PER_BUCKET; index++) {
      long word = word(index);
      boolean sameId = (word & TAG_MASK) == (wanted & TAG_MASK);
      if (index != except && sameId && !isFree(word, now)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the index of a free word of the bucket; -1 if there is none. */
  private int freeIndex(int bucket, long now) {
    for (int index = bucket; index < bucket + WORDS_PER_BUCKET; index++) {
      if (isFree(word(index), now)) {
        return index;
      }
    }
    return -1;
  }

  private static boolean isFree(long word, long now) {
    // The difference of the low bits is the time that is left, as long as it is short.
    short secondsLeft = (short) ((word & EXPIRY_MASK) - (now & EXPIRY_MASK));
    return word == FREE || secondsLeft <= 0 || secondsLeft > MAX_KEPT_SECONDS;
  }

  private long word(int index) {
    return (long) WORDS.getVolatile(table, index * Long.BYTES);
  }

  private boolean replace(int index, long seen, long word) {
    return WORDS.compareAndSet(table, index * Long.BYTES, seen, word);
  }
}
