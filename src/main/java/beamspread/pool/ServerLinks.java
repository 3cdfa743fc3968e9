package beamspread.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The connections to one server, and the attempts that wait for one. */
final class ServerLinks<A> {
  /** After so long without a close behind an answer none is to be expected. */
  private static final long SETTLED_NANOS = 5_000_000L;

  /** A connection that ends without an answer within this time was turned down. */
  private static final long AT_ONCE_NANOS = 50_000_000L;

  /** An answer that takes so many times longer than usual is overdue. */
  private static final int SUSPECT_TIMES = 6;

  /** The part of each new answer time in the usual one. */
  private static final double WEIGHT = 0.1;

  private record Waiting<A>(A attempt, boolean guarded) {}

  final long server;
  private final Pools<A> pools;
  private final Map<Long, Link> links = new LinkedHashMap<>();
  private final ArrayDeque<Waiting<A>> waiting = new ArrayDeque<>();

  /** Of connections that more can be written to, and of all. */
  private final LimitEstimate limit;

  private final LimitEstimate all;
  private int generation;
  private int opening;
  private boolean left;

  /** When the process that the list tells of started; connections from before lead nowhere. */
  private long started = Long.MIN_VALUE;

  /** How long answers usually take, 0 while nothing is known. */
  private double usualNanos;

  /** When an attempt was last sent here, and whether one ever was. */
  private long usedAt;

  private boolean used;

  ServerLinks(long server, Pools<A> pools) {
    this.server = server;
    this.pools = pools;
    this.limit = new LimitEstimate(pools.settings().connections());
    this.all = new LimitEstimate(pools.settings().most());
  }

  // What the list says.

  void listed(boolean moved, long startedAt) {
    generation += moved ? 1 : 0;
    started = Math.max(started, startedAt);
    for (Link link : List.copyOf(links.values())) {
      if (link.up && leadsNowhere(link)) {
        retire(link);
      }
    }
  }

  private boolean leadsNowhere(Link link) {
    return left
        || link.generation != generation
        || (started != Long.MIN_VALUE && link.askedAt - started < 0);
  }

  void leave() {
    left = true;
    failWaiting();
    for (Link link : List.copyOf(links.values())) {
      if (link.up) {
        retire(link);
      }
    }
  }

  /** Opens no more than this from now on. */
  void ceiling(PoolSettings settings) {
    limit.ceiling(settings.connections());
    all.ceiling(settings.most());
  }

  /** The list has the server again; what is left from before leads nowhere. */
  void comeBack() {
    left = false;
    generation++;
  }

  /** Whether the server has left and nothing of it remains. */
  boolean gone() {
    return left && links.isEmpty();
  }

  int count() {
    return links.size();
  }

  // Attempts.

  /**
   * Writes an attempt to a free connection, the one used last so that others fall idle; where there
   * is none, opens one more; at the limit, writes it behind the fewest others.
   */
  void send(long now, A attempt, boolean guarded) {
    usedAt = now;
    used = true;
    retireDue(now);
    place(now, new Waiting<>(attempt, guarded));
    openSpare(now);
  }

  private void place(long now, Waiting<A> one) {
    if (left) {
      pools.actions().unreachable(one.attempt());
      return;
    }
    Link best = null;
    for (Link link : links.values()) {
      if (link.writable(pools.settings().depth())
          && (best == null || better(now, link, best, one))) {
        best = link;
      }
    }
    if (best != null && best.load == 0) {
      write(now, best, one);
      return;
    }
    if (waiting.size() < freeSoon()) {
      waiting.add(one);
      return;
    }
    if (mayOpen(now) && (opening > waiting.size() || open(now))) {
      waiting.add(one);
      return;
    }
    if (best != null) {
      write(now, best, one);
    } else if (usable(now) + opening > 0) {
      waiting.add(one);
    } else if (!pools.hasSocket()) {
      // Nothing is here, and no socket is to be had.
      pools.actions().unreachable(one.attempt());
    } else if (streaming() > 0) {
      pools.actions().full(one.attempt());
    } else {
      waiting.add(one);
    }
  }

  private int freeSoon() {
    int soon = 0;
    for (Link link : links.values()) {
      soon += link.freeSoon() ? 1 : 0;
    }
    return soon;
  }

  /**
   * Whether an attempt is better written here: not behind one whose answer is overdue, fewer to
   * wait for, not together with what must not be lost, or more lately in use, but not just now.
   * Guards against a server that closes a connection right behind an answer: what is written before
   * that is seen ends as a reset, and may have run.
   */
  private boolean better(long now, Link link, Link other, Waiting<A> one) {
    boolean suspect = suspect(now, link);
    if (suspect != suspect(now, other)) {
      return !suspect;
    }
    if (link.load != other.load) {
      return link.load < other.load;
    }
    if (!one.guarded() && link.guarded != other.guarded) {
      return link.guarded < other.guarded;
    }
    boolean settled = now - link.usedAt > SETTLED_NANOS;
    return settled == (now - other.usedAt > SETTLED_NANOS)
        ? link.usedAt - other.usedAt > 0
        : settled;
  }

  /** Whether an answer here is so overdue that nothing more should wait behind it. */
  private boolean suspect(long now, Link link) {
    return link.silentFor(
        now, Math.max(pools.settings().suspectNanos(), (long) (SUSPECT_TIMES * usualNanos)));
  }

  private void write(long now, Link link, Waiting<A> one) {
    if (!pools.actions().write(link.id, one.attempt())) {
      return;
    }
    if (link.load == 0) {
      link.waitsSince = now;
    }
    link.load++;
    link.awaited++;
    link.guarded += one.guarded() ? 1 : 0;
    link.usedAt = now;
  }

  /** Takes an attempt back that waits; whether it was here. */
  boolean forget(A attempt) {
    return waiting.removeIf(one -> one.attempt() == attempt);
  }

  /**
   * Nobody waits for an attempt any more that was written here. Closing the connection gives it up,
   * but would break the others on it: where there are any, its answer is read and dropped.
   *
   * @param overdue whether its time ran out
   */
  void abandoned(Link link, long writtenAt, boolean overdue) {
    link.awaited--;
    boolean silent = link.heardAt - writtenAt < 0;
    // Guards against writing more behind an attempt that may never be answered. Where others wait
    // here and answers still come, this one's is due as well: a connection that only waits for its
    // end would be one more at a server that takes few, just when it is slow.
    if (link.awaited == 0 || silent) {
      retire(link);
    }
    if (overdue && silent) {
      suspectSilence(writtenAt);
    }
  }

  // Connections.

  /**
   * Connections that may be written to, now or soon. Those that are being given up do not count,
   * nor those whose answers are overdue or come in parts, as slowly as a client takes them: what
   * hangs on them must keep nothing else from the server.
   */
  private int usable(long now) {
    int usable = 0;
    for (Link link : links.values()) {
      usable += link.usable() && !link.streaming && !suspect(now, link) ? 1 : 0;
    }
    return usable;
  }

  private boolean mayOpen(long now) {
    int most = limit.most(now);
    // Once the server has shown its limit, those that only wait for their end count in full. One on
    // which an answer comes in parts may do so for seconds, and nothing is written behind it.
    int allowed = most + (limit.known() ? 0 : pools.settings().leaving()) + besideStreaming();
    return usable(now) + opening < most
        && links.size() < Math.min(allowed, all.most(now))
        && opening < pools.settings().openingEach()
        && !left;
  }

  /** Connections on which an answer comes in parts. */
  private int streaming() {
    int streaming = 0;
    for (Link link : links.values()) {
      streaming += link.streaming ? 1 : 0;
    }
    return streaming;
  }

  /** How many more may be open for them. */
  private int besideStreaming() {
    return Math.min(streaming(), pools.settings().streaming());
  }

  /** One more was turned down, so many work. */
  private void refused(long now, int working) {
    limit.refused(now, working);
    all.refused(now, working);
  }

  /** One came up and was turned down: that shows a limit only where another has answered. */
  private void refusedBesideWorking(long now, int working) {
    if (links.values().stream().anyMatch(one -> one.answered && one.usable())) {
      refused(now, working);
    }
  }

  /** Opens one more; false if no socket is to be had. */
  private boolean open(long now) {
    Link link = pools.take(now, this, generation);
    if (link == null) {
      return false;
    }
    links.put(link.id, link);
    opening++;
    pools.actions().open(server, link.id);
    return true;
  }

  /** Keeps free ones ready where the server is in use and not cold. */
  private void openSpare(long now) {
    if (pools.settings().spare() == 0
        || left
        || cold(now)
        || !used
        || now - usedAt > pools.settings().idleNanos()) {
      return;
    }
    int free = opening - waiting.size();
    for (Link link : links.values()) {
      free += link.free() || link.freeSoon() ? 1 : 0;
    }
    for (; free < pools.settings().spare() && mayOpen(now) && pools.roomAhead(); free++) {
      if (!open(now)) {
        return;
      }
    }
  }

  private boolean cold(long now) {
    return started != Long.MIN_VALUE && now - started < pools.settings().coldNanos();
  }

  void opened(long now, Link link) {
    opening--;
    link.up = true;
    link.openedAt = now;
    link.heardAt = now;
    link.usedAt = now;
    limit.opened(now, links.size() - opening);
    all.opened(now, links.size() - opening);
    if (leadsNowhere(link)) {
      // The list changed while it came up: another process may be at this address by now.
      retire(link);
    } else {
      fill(now, link);
    }
  }

  /**
   * No connection came up. One that was turned down while others work may show the server's limit:
   * what waited goes on those, since a failure would tell the module that the server is down. But
   * one that times out beside silent ones shows a machine that has vanished.
   */
  void notOpened(long now, Link link, boolean silent) {
    opening--;
    links.remove(link.id);
    if (silent) {
      suspectSilence(link.askedAt);
    }
    if (streaming() > 0
        || links.values().stream().anyMatch(one -> one.writable(pools.settings().depth()))) {
      refused(now, links.size() - opening);
      placeAgain(now);
    } else if (opening == 0) {
      pools.seen(!silent);
      failWaiting();
    }
  }

  /** Whatever waits for a connection here is told that there is none. */
  void failWaiting() {
    List<Waiting<A>> all = List.copyOf(waiting);
    waiting.clear();
    all.forEach(one -> pools.actions().unreachable(one.attempt()));
  }

  /** Whether attempts wait though nothing is coming up that could end their wait. */
  boolean starved() {
    return !waiting.isEmpty() && opening == 0;
  }

  /** Finds places anew for as many as wait now: some may have to wait again. */
  void placeAgain(long now) {
    for (int i = waiting.size(); i > 0 && !waiting.isEmpty(); i--) {
      place(now, waiting.poll());
    }
  }

  /** Something has come, and more may follow before {@link #readDone}. */
  void heard(long now, Link link) {
    link.reading = true;
    link.heardAt = now;
  }

  /** The oldest attempt on a connection has the head of its answer. */
  void begun(long now, Link link, long writtenAt) {
    link.streaming = true;
    learn(now - writtenAt);
  }

  private void learn(double took) {
    usualNanos = usualNanos == 0 ? took : usualNanos + WEIGHT * (took - usualNanos);
  }

  /** The oldest attempt on a connection has its answer. */
  void answered(
      long now, Link link, long writtenAt, boolean awaited, boolean guarded, boolean turnedAway) {
    link.load--;
    link.awaited -= awaited ? 1 : 0;
    link.guarded -= guarded ? 1 : 0;
    link.usedAt = now;
    link.waitsSince = now;
    atTheDoor(now, link, turnedAway);
    if (link.retiring) {
      retire(link);
    }
    if (!link.streaming) {
      learn(now - writtenAt);
    }
    link.streaming = false;
  }

  /**
   * What the first answer on a connection tells of its server's limit. Guards against a server that
   * lets a connection come up and says on it that it is busy: that is one too many, and as long as
   * it is kept it hears nothing else.
   */
  private void atTheDoor(long now, Link link, boolean turnedAway) {
    boolean shut = turnedAway && !link.answered;
    pools.seen(shut);
    if (!shut) {
      link.answered = true;
      return;
    }
    link.retiring = true;
    refusedBesideWorking(now, links.size() - opening - 1);
  }

  /** All that had come is read: only now may the connection be used again. */
  void readDone(long now, Link link, boolean midway) {
    link.reading = false;
    if (midway) {
      link.heardAt = now;
    } else if (link.usable()) {
      fill(now, link);
    }
  }

  /**
   * A connection may be written to: what waits longest has it, one attempt if others are coming up,
   * else as many as go on it.
   */
  private void fill(long now, Link link) {
    int most = opening > 0 ? 1 : pools.settings().depth();
    while (!waiting.isEmpty() && link.writable(most)) {
      write(now, link, waiting.poll());
    }
  }

  void closed(long now, Link link) {
    links.remove(link.id);
    boolean turnedDown =
        link.up && !link.answered && !link.retiring && now - link.openedAt < AT_ONCE_NANOS;
    if (turnedDown) {
      refusedBesideWorking(now, links.size() - opening);
    }
    placeAgain(now);
  }

  /** Nothing more is written here; it closes once nobody waits for what is under way. */
  void retire(Link link) {
    link.retiring = true;
    if (link.awaited == 0 && !link.closing) {
      pools.closing(link);
      pools.actions().close(link.id);
    }
  }

  /**
   * Nothing has come from this server since the given time, though an answer was due. Guards
   * against a machine that vanished, whose connections stay open and silent: none of those is used
   * again, so that the next attempt opens one and learns the truth within the connect time-out.
   */
  private void suspectSilence(long since) {
    List<Link> up = new ArrayList<>();
    for (Link link : links.values()) {
      if (link.up && link.heardAt - since > 0) {
        return;
      }
      if (link.up) {
        up.add(link);
      }
    }
    up.forEach(this::retire);
  }

  /** The connection that has been free longest, null if none is. */
  Link idlest() {
    Link idlest = null;
    for (Link link : links.values()) {
      if (link.free() && (idlest == null || link.usedAt - idlest.usedAt < 0)) {
        idlest = link;
      }
    }
    return idlest;
  }

  private void retireDue(long now) {
    int beyond =
        links.size()
            - pools.settings().connections()
            - pools.settings().leaving()
            - besideStreaming();
    // Without a copy, since this runs at each send: that one has closed is told later.
    long rest = pools.restNanos();
    for (Link link : links.values()) {
      if (link.free() && (link.due(now, rest) || beyond > 0)) {
        retire(link);
        beyond--;
      }
    }
  }

  /** Closes what has outlived its time, and keeps spare ones ready. */
  void tick(long now) {
    retireDue(now);
    if (starved()) {
      placeAgain(now);
    }
    openSpare(now);
  }

  void closeIdle() {
    for (Link link : List.copyOf(links.values())) {
      if (link.free()) {
        retire(link);
      }
    }
  }
}
