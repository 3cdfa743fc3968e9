package beamspread.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * Decides which writes wait, which go together into a transaction, and which are given up on. Not
 * for more than one thread; times are nanoseconds of one clock that never runs backwards.
 *
 * <p>A transaction costs about the same for one write as for many, since the disk is waited for
 * once (group commit). So all that waits goes together, as many as are bounded, those that end
 * first before others. A write is refused as long as its transaction has not begun, which does no
 * harm; after that, only the transaction's end tells, or the write's time runs out and nobody can
 * say.
 *
 * <p>Guards against a queue before a disk that stands still: what can't be reached in time, by how
 * long transactions take now, is refused as it comes, and all that waits is told at its end.
 *
 * @param <A> who is answered
 */
public final class WriteDesk<A> {
  /** What bounds it. */
  public record Limits(int queue, int batch, long stallNanos) {
    /**
     * @throws IllegalArgumentException if nothing could ever be written
     */
    public Limits {
      if (queue < 1 || batch < 1 || stallNanos < 1) {
        throw new IllegalArgumentException("queue, batch and stall must be at least 1");
      }
    }
  }

  /** A write and who waits for it. */
  public record Entry<A>(Write write, A asker) {}

  /** An answer to somebody. */
  public record Told<A>(A asker, Write.Answer answer) {}

  /** The part of a transaction's time in the usual one: what got faster is believed sooner. */
  private static final double SLOWER = 0.2;

  private static final double FASTER = 0.5;

  private final Limits limits;
  private final ArrayDeque<Entry<A>> waiting = new ArrayDeque<>();

  /** Those in the transaction that is under way and have no answer yet. */
  private final List<Entry<A>> underWay = new ArrayList<>();

  private boolean busy;
  private long begunAt;
  private double usualNanos;
  private boolean stopped;
  private String why = "";

  /** A desk where nothing waits. */
  public WriteDesk(Limits limits) {
    this.limits = limits;
  }

  /** How many wait. */
  public int waiting() {
    return waiting.size();
  }

  /**
   * Whether the transaction under way takes so long that the disk must be thought to stand still.
   */
  public boolean stalled(long now) {
    return busy && now - begunAt > limits.stallNanos();
  }

  /**
   * Takes a write, or tells at once why not.
   *
   * @return null if it waits now
   */
  public Write.Answer offer(long now, Write write, A asker) {
    if (stopped) {
      return Write.Answer.refused(why);
    }
    if (stalled(now)) {
      // Only what is out may tell that the disk goes on: more behind it would find out no sooner.
      return Write.Answer.refused("the disk has not answered for long");
    }
    if (waiting.size() >= limits.queue()) {
      return Write.Answer.refused("the queue is full");
    }
    // One alone always goes: after a stall only a transaction can tell that it is over.
    boolean alone = !busy && waiting.isEmpty();
    if (!alone && now + expected(now) > write.deadline()) {
      return Write.Answer.refused("it would come too late");
    }
    waiting.add(new Entry<>(write, asker));
    return null;
  }

  /** How long a write that comes now takes until it is durable, as far as can be told. */
  long expected(long now) {
    long rest = busy ? (long) Math.max(0, usualNanos - (now - begunAt)) : 0;
    // Of what takes longer than usual, as much again must be expected.
    rest = busy && now - begunAt > usualNanos ? now - begunAt : rest;
    long before = waiting.size() / limits.batch();
    return rest + (long) ((before + 1) * usualNanos);
  }

  /** Answers to all whose time is up: before their transaction a refusal, in it nobody knows. */
  public List<Told<A>> expire(long now) {
    List<Told<A>> told = new ArrayList<>();
    for (Iterator<Entry<A>> all = waiting.iterator(); all.hasNext(); ) {
      Entry<A> one = all.next();
      if (now >= one.write().deadline()) {
        all.remove();
        told.add(new Told<>(one.asker(), Write.Answer.refused("its time ran out in the queue")));
      }
    }
    for (Iterator<Entry<A>> all = underWay.iterator(); all.hasNext(); ) {
      Entry<A> one = all.next();
      if (now >= one.write().deadline()) {
        all.remove();
        told.add(new Told<>(one.asker(), Write.Answer.unknown("its time ran out while it ran")));
      }
    }
    return told;
  }

  /** When something is to be expired next, {@link Long#MAX_VALUE} for never. */
  public long nextExpiry() {
    long next = Long.MAX_VALUE;
    for (Entry<A> one : waiting) {
      next = Math.min(next, one.write().deadline());
    }
    for (Entry<A> one : underWay) {
      next = Math.min(next, one.write().deadline());
    }
    return next;
  }

  /**
   * Begins a transaction with what waits, those whose time ends first before others; to be called
   * after {@link #expire}. Empty if nothing waits or one is under way.
   */
  public List<Entry<A>> begin(long now) {
    if (busy || waiting.isEmpty() || stopped) {
      return List.of();
    }
    List<Entry<A>> all = new ArrayList<>(waiting);
    all.sort(Comparator.comparingLong(entry -> entry.write().deadline()));
    int size = Math.min(limits.batch(), all.size());
    List<Entry<A>> batch = List.copyOf(all.subList(0, size));
    waiting.clear();
    waiting.addAll(all.subList(size, all.size()));
    underWay.addAll(batch);
    busy = true;
    begunAt = now;
    return batch;
  }

  /**
   * The transaction is over.
   *
   * @param answers to each of the batch, in its order
   * @return what those are told who still wait for it
   */
  public List<Told<A>> ended(long now, List<Entry<A>> batch, List<Write.Answer> answers) {
    double took = now - begunAt;
    double gain = took < usualNanos ? FASTER : SLOWER;
    usualNanos = usualNanos == 0 ? took : usualNanos + gain * (took - usualNanos);
    busy = false;
    List<Told<A>> told = new ArrayList<>();
    for (int i = 0; i < batch.size(); i++) {
      if (underWay.remove(batch.get(i))) {
        told.add(new Told<>(batch.get(i).asker(), answers.get(i)));
      }
    }
    return told;
  }

  /**
   * Nothing more is written: the disk has failed, or the store ends. What waits is refused; what is
   * under way is told by {@link #ended}.
   */
  public List<Told<A>> stop(String reason) {
    stopped = true;
    why = reason;
    List<Told<A>> told = new ArrayList<>();
    for (Entry<A> one : waiting) {
      told.add(new Told<>(one.asker(), Write.Answer.refused(reason)));
    }
    waiting.clear();
    return told;
  }
}
