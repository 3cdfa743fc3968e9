package beamspread.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when what is sent over a link in one direction arrives, and in what shape. The same seed,
 * sends and states give the same decisions. Not for more than one thread; times are nanoseconds of
 * one clock that never runs backwards.
 */
public final class LinkPlan {
  /** What is never to arrive while the link is as it is. */
  public static final long NEVER = Long.MAX_VALUE;

  /** What overtakes a datagram does so by this much. */
  private static final long OVERTAKEN_NANOS = 30_000_000;

  /** A lost segment of a stream is sent again after this, and after twice as long the next time. */
  private static final long RESEND_NANOS = 200_000_000;

  private static final int MOST_RESENDS = 6;

  /** A slow link holds as much as it carries in this time; datagrams beyond it are dropped. */
  private static final long HELD_NANOS = 1_000_000_000;

  /** The arrival of a datagram, of which so many bytes are left. */
  public record Arrival(long atNanos, int length) {}

  private final SplittableRandom random;
  private LinkState state = LinkState.CLEAR;
  private long freeAt = Long.MIN_VALUE;
  private long streamAt = Long.MIN_VALUE;

  /** A link that nothing befalls yet. */
  public LinkPlan(long seed) {
    random = new SplittableRandom(seed);
  }

  /** What befalls all that is sent from now on. */
  public void become(LinkState now) {
    state = now;
  }

  /** What befalls it now. */
  public LinkState state() {
    return state;
  }

  /** Where and how a datagram of this size arrives: not at all, once or twice. */
  public List<Arrival> datagram(long now, int size) {
    // Drawn for each in the same order, whatever the state: a fault that ends changes no later one.
    double lost = random.nextDouble();
    double twice = random.nextDouble();
    double overtaken = random.nextDouble();
    double cutShort = random.nextDouble();
    double first = random.nextDouble();
    double second = random.nextDouble();
    int kept = size == 0 ? 0 : random.nextInt(size);
    if (state.cut() || lost < state.loss()) {
      return List.of();
    }
    long sent = carried(now, size);
    if (sent - now > HELD_NANOS) {
      return List.of();
    }
    int length = cutShort < state.truncate() ? kept : size;
    long late = overtaken < state.reorder() ? OVERTAKEN_NANOS : 0;
    List<Arrival> arrivals = new ArrayList<>(2);
    arrivals.add(new Arrival(sent + under(first) + late, length));
    if (twice < state.duplicate()) {
      arrivals.add(new Arrival(sent + under(second), length));
    }
    return arrivals;
  }

  /**
   * When a piece of a stream arrives: in order, whole, and late where a datagram would be lost, as
   * the sender's system sends it again. {@link #NEVER} while the link is cut: it is to be asked
   * again.
   */
  public long stream(long now, int size) {
    if (state.cut()) {
      return NEVER;
    }
    long late = 0;
    for (int i = 0; i < MOST_RESENDS && random.nextDouble() < state.loss(); i++) {
      late += RESEND_NANOS << i;
    }
    long arrives = carried(now, size) + under(random.nextDouble()) + late;
    streamAt = Math.max(streamAt, arrives);
    return streamAt;
  }

  private long under(double share) {
    return state.delayNanos() + (long) (share * state.jitterNanos());
  }

  /** When a slow link has sent the last byte. */
  private long carried(long now, int size) {
    if (state.bytesPerSecond() == 0) {
      return now;
    }
    long begins = Math.max(now, freeAt);
    long ends = begins + size * 1_000_000_000L / state.bytesPerSecond();
    if (ends - now <= HELD_NANOS) {
      freeAt = ends;
    }
    return ends;
  }
}
