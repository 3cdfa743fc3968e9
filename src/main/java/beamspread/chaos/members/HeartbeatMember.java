package beamspread.chaos.members;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A baseline: each beats to all others, and whom one does not hear for a time is gone for it. */
public final class HeartbeatMember implements Member {
  private static final int BYTES = 40;
  private static final long NEVER = Long.MIN_VALUE;

  private final int self;
  private final long every;
  private final long silence;
  private final Surroundings surroundings;
  private final long[] heardAt;
  private final boolean[] here;
  private long due;

  private HeartbeatMember(
      int self, int size, long every, long silence, long now, Surroundings surroundings) {
    this.self = self;
    this.every = every;
    this.silence = silence;
    this.surroundings = surroundings;
    heardAt = new long[size];
    Arrays.fill(heardAt, NEVER);
    here = new boolean[size];
    here[self] = true;
    due = now + Math.floorMod(self * 7919L, every);
  }

  /** Members of a tier of so many. */
  public static Maker maker(int size, long every, long silence) {
    return (number, start, now, surroundings) ->
        new HeartbeatMember(number, size, every, silence, now, surroundings);
  }

  @Override
  public long due() {
    return due;
  }

  @Override
  public void run(long now) {
    due = now + every;
    for (int other = 0; other < here.length; other++) {
      if (other == self) {
        continue;
      }
      surroundings.send(other, ByteBuffer.allocate(BYTES).array());
      if (here[other] && now - heardAt[other] > silence) {
        here[other] = false;
        surroundings.judged(other, false);
      }
    }
  }

  @Override
  public void received(long now, int from, byte[] datagram) {
    if (datagram.length != BYTES) {
      return;
    }
    heardAt[from] = now;
    if (!here[from]) {
      here[from] = true;
      surroundings.judged(from, true);
    }
  }

  @Override
  public void leave(long now) {
    due = Long.MAX_VALUE;
  }

  @Override
  public boolean here(int number) {
    return here[number];
  }

  @Override
  public int digest() {
    return Arrays.hashCode(here);
  }
}
