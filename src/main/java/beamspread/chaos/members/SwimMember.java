package beamspread.chaos.members;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A baseline: plain SWIM with suspicion (Das 2002). Each period one other is pinged, through three
 * others where it does not answer; one that does not is suspected, and after a time gone, unless it
 * raises its incarnation meanwhile. News rides on what is sent.
 */
public final class SwimMember implements Member {
  private static final long PERIOD = 500_000_000;
  private static final long DIRECT = 150_000_000;
  private static final int THROUGH = 3;
  private static final int NEWS = 12;
  private static final int HERE = 0;
  private static final int SUSPECT = 1;
  private static final int GONE = 2;

  private static final byte PING = 1;
  private static final byte ACK = 2;
  private static final byte ASK = 3;
  private static final byte RELAYED = 4;

  private final int self;
  private final int size;
  private final Surroundings surroundings;
  private final SplittableRandom random;
  private final int[] incarnation;
  private final int[] state;
  private final boolean[] known;
  private final long[] suspectedAt;
  private final Map<Integer, Integer> news = new HashMap<>();
  private final List<Integer> order = new ArrayList<>();
  private long periodAt;
  private long directAt = Long.MAX_VALUE;
  private int target = -1;
  private boolean answered;

  private SwimMember(
      int self, int size, int incarnation, long seed, long now, Surroundings surroundings) {
    this.self = self;
    this.size = size;
    this.surroundings = surroundings;
    this.random = new SplittableRandom(seed);
    this.incarnation = new int[size];
    this.state = new int[size];
    this.known = new boolean[size];
    this.suspectedAt = new long[size];
    this.incarnation[self] = incarnation;
    known[self] = true;
    periodAt = now + random.nextLong(PERIOD);
  }

  /** Members of a tier of so many. */
  public static Maker maker(int size, long seed) {
    return (number, start, now, surroundings) ->
        new SwimMember(
            number, size, start * 1000, seed * 31 + number * 7L + start, now, surroundings);
  }

  @Override
  public long due() {
    return Math.min(periodAt, directAt);
  }

  @Override
  public void run(long now) {
    if (now >= directAt) {
      directAt = Long.MAX_VALUE;
      for (int i = 0; i < THROUGH && !answered; i++) {
        send(random.nextInt(size), ASK, target);
      }
    }
    if (now >= periodAt) {
      periodAt = now + PERIOD;
      if (target >= 0 && !answered && known[target] && state[target] == HERE) {
        become(now, target, incarnation[target], SUSPECT);
      }
      double patience = 3 * Math.log10(size + 1) * PERIOD;
      for (int other = 0; other < size; other++) {
        if (state[other] == SUSPECT && now - suspectedAt[other] > patience) {
          become(now, other, incarnation[other], GONE);
        }
      }
      target = next();
      if (target >= 0) {
        answered = false;
        directAt = now + DIRECT;
        send(target, PING, target);
      }
    }
  }

  /** Each in turn, in an order that chance chooses anew each time; also gone ones, now and then. */
  private int next() {
    if (order.isEmpty()) {
      for (int other = 0; other < size; other++) {
        if (other != self && (state[other] != GONE || random.nextInt(4) == 0)) {
          order.add(other);
        }
      }
      java.util.Collections.shuffle(order, new java.util.Random(random.nextLong()));
    }
    return order.isEmpty() ? -1 : order.remove(order.size() - 1);
  }

  private void become(long now, int number, int of, int is) {
    boolean was = known[number] && state[number] != GONE;
    known[number] = true;
    incarnation[number] = of;
    state[number] = is;
    suspectedAt[number] = now;
    news.put(number, 3 * (32 - Integer.numberOfLeadingZeros(size)));
    if (was != (is != GONE) && number != self) {
      surroundings.judged(number, is != GONE);
    }
  }

  private void send(int to, byte kind, int about) {
    if (to == self) {
      return;
    }
    List<Integer> told = new ArrayList<>(news.keySet());
    told.sort(java.util.Comparator.comparing(news::get).reversed());
    List<Integer> taken = told.subList(0, Math.min(NEWS, told.size()));
    ByteBuffer out = ByteBuffer.allocate(Math.max(40, 9 + 7 * taken.size()));
    out.put(kind).putShort((short) about).putInt(incarnation[self]).putShort((short) taken.size());
    for (int number : taken) {
      out.putShort((short) number).putInt(incarnation[number]).put((byte) state[number]);
      news.merge(number, -1, Integer::sum);
      news.remove(number, 0);
    }
    surroundings.send(to, out.array());
  }

  @Override
  public void received(long now, int from, byte[] datagram) {
    if (datagram.length < 40) {
      return;
    }
    ByteBuffer in = ByteBuffer.wrap(datagram);
    byte kind = in.get();
    int about = in.getShort();
    learn(now, from, in.getInt(), HERE);
    int count = Math.min(in.getShort(), in.remaining() / 7);
    for (int i = 0; i < count; i++) {
      learn(now, in.getShort(), in.getInt(), in.get());
    }
    switch (kind) {
      case PING -> send(from, ACK, self);
      case ACK -> answered |= from == target;
      // The one in the middle asks, and the answer to it is passed on as its own word.
      case ASK -> send(about, RELAYED, from);
      case RELAYED -> send(about, ACK, self);
      default -> {
        // Nothing that this knows.
      }
    }
  }

  private void learn(long now, int number, int of, int is) {
    if (number < 0 || number >= size) {
      return;
    }
    if (number == self) {
      if (is != HERE && of >= incarnation[self]) {
        become(now, self, of + 1, HERE);
      }
    } else if (!known[number]
        || of > incarnation[number]
        || of == incarnation[number] && is > state[number]) {
      become(now, number, of, is);
    }
  }

  @Override
  public void leave(long now) {
    periodAt = Long.MAX_VALUE;
    directAt = Long.MAX_VALUE;
  }

  @Override
  public boolean here(int number) {
    return known[number] && state[number] != GONE;
  }

  @Override
  public int digest() {
    return Arrays.hashCode(incarnation) * 31 + Arrays.hashCode(state);
  }
}
