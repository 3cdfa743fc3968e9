package beamspread.chaos.members;

import beamspread.chaos.LinkPlan;
import beamspread.chaos.LinkState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * Members on virtual time. Links do what they are told; processes stand still, die and start anew.
 * A process that stands still finds afterwards what its socket has kept for it. The same seed and
 * calls give the same course.
 */
public final class MemberWorld {
  /** Datagrams that a socket keeps for a process that does not read. */
  private static final int SOCKET_KEEPS = 400;

  /** Links are asked anew for their state after this. */
  private static final long USUAL_DELAY = 300_000;

  /** What befalls a datagram from one to another now. */
  public interface Links {
    LinkState state(int from, int to);
  }

  /** Somebody judged somebody. */
  public record Judgement(long at, int by, int of, boolean here) {}

  private record Event(long at, long order, int to, int from, byte[] datagram, int start) {}

  private static final class Place {
    private Member member;
    private int start = -1;
    private boolean dead = true;
    private long stoppedUntil;
    private final ArrayDeque<Event> kept = new ArrayDeque<>();
    private long scheduled = Long.MAX_VALUE;
  }

  private final Member.Maker maker;
  private final long seed;
  private final List<Place> places = new ArrayList<>();
  private final Map<Long, LinkPlan> plans = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final List<Judgement> judgements = new ArrayList<>();
  private Links links = (from, to) -> LinkState.CLEAR;
  private long now;
  private long order;
  private long datagrams;
  private long bytes;

  /** A world of so many places, in which nobody is yet. */
  public MemberWorld(int size, long seed, Member.Maker maker) {
    this.maker = maker;
    this.seed = seed;
    for (int i = 0; i < size; i++) {
      places.add(new Place());
    }
  }

  /** The time. */
  public long now() {
    return now;
  }

  /** How many places there are. */
  public int size() {
    return places.size();
  }

  /** What befalls datagrams from now on. */
  public void links(Links other) {
    links = other;
  }

  /** A process starts at a place; another that is there is dead from now on. */
  public void start(int number) {
    Place place = places.get(number);
    place.start++;
    place.dead = false;
    place.stoppedUntil = 0;
    place.kept.clear();
    place.scheduled = Long.MAX_VALUE;
    int start = place.start;
    place.member =
        maker.make(
            number,
            start,
            now,
            new Member.Surroundings() {
              @Override
              public void send(int to, byte[] datagram) {
                if (places.get(number).start == start) {
                  carry(number, to, datagram);
                }
              }

              @Override
              public void judged(int of, boolean here) {
                judgements.add(new Judgement(now, number, of, here));
              }
            });
    schedule(number);
  }

  /** A process dies. */
  public void kill(int number) {
    places.get(number).dead = true;
    places.get(number).kept.clear();
  }

  /** A process ends on purpose. */
  public void leave(int number) {
    member(number).leave(now);
    kill(number);
  }

  /** A process stands still for so long. */
  public void stop(int number, long nanos) {
    Place place = places.get(number);
    place.stoppedUntil = Math.max(place.stoppedUntil, now + nanos);
  }

  /** Whether a process runs and does not stand still. */
  public boolean runs(int number) {
    return !places.get(number).dead && places.get(number).stoppedUntil <= now;
  }

  /** Whether a process has not died. */
  public boolean alive(int number) {
    return !places.get(number).dead;
  }

  /** The process at a place. */
  public Member member(int number) {
    return places.get(number).member;
  }

  /** What members have judged so far, in order. */
  public List<Judgement> judgements() {
    return judgements;
  }

  /** Datagrams sent so far. */
  public long datagrams() {
    return datagrams;
  }

  /** Their bytes. */
  public long bytes() {
    return bytes;
  }

  private void carry(int from, int to, byte[] datagram) {
    datagrams++;
    bytes += datagram.length;
    if (to < 0 || to >= places.size() || to == from) {
      return;
    }
    LinkPlan plan =
        plans.computeIfAbsent(
            (long) from << 32 | to, key -> new LinkPlan(seed * 0x9E3779B97F4A7C15L + key));
    plan.become(links.state(from, to));
    for (LinkPlan.Arrival one : plan.datagram(now, datagram.length)) {
      byte[] arrived =
          one.length() == datagram.length
              ? datagram
              : java.util.Arrays.copyOf(datagram, one.length());
      events.add(new Event(one.atNanos() + USUAL_DELAY, order++, to, from, arrived, -1));
    }
  }

  private void schedule(int number) {
    Place place = places.get(number);
    long due = Math.max(now, Math.max(place.member.due(), place.stoppedUntil));
    if (due < place.scheduled) {
      place.scheduled = due;
      events.add(new Event(due, order++, number, -1, null, place.start));
    }
  }

  /** Lets so much time pass. */
  public void pass(long nanos) {
    long until = now + nanos;
    while (!events.isEmpty() && events.peek().at() <= until) {
      next();
    }
    now = until;
  }

  /** Lets time pass until that holds, {@code most} at most; whether it does. */
  public boolean passUntil(long most, long step, BooleanSupplier holds) {
    long until = now + most;
    while (!holds.getAsBoolean()) {
      if (now >= until) {
        return false;
      }
      pass(step);
    }
    return true;
  }

  private void next() {
    Event event = events.poll();
    now = Math.max(now, event.at());
    Place place = places.get(event.to());
    if (place.dead) {
      return;
    }
    if (event.datagram() == null) {
      if (event.start() != place.start || event.at() != place.scheduled) {
        return;
      }
      place.scheduled = Long.MAX_VALUE;
      if (place.stoppedUntil > now) {
        schedule(event.to());
        return;
      }
      // As an event loop does: what is due first, then what has come.
      place.member.run(now);
      for (Event one = place.kept.poll(); one != null; one = place.kept.poll()) {
        place.member.received(now, one.from(), one.datagram());
      }
    } else if (place.stoppedUntil > now) {
      if (place.kept.size() < SOCKET_KEEPS) {
        place.kept.add(event);
      }
      return;
    } else {
      place.member.received(now, event.from(), event.datagram());
    }
    schedule(event.to());
  }
}
