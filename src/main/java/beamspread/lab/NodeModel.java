package beamspread.lab;

import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Request;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import beamspread.policy.Actions;
import beamspread.pool.PoolActions;
import beamspread.pool.Pools;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One node: the real decision module and the real pools, told of virtual events as the real node
 * tells them of those of its sockets. The way in which it does so follows {@code node.Dispatcher}.
 */
final class NodeModel implements Actions, PoolActions<NodeModel.Try> {
  /** The node stops waiting for a box this long before the client does. */
  private static final long MARGIN_NANOS = 2_000_000L;

  /** The decision module's clock at the start of a run: nothing lies before its zero. */
  static final double EPOCH_SECONDS = 10_000;

  /** Who is told of the final answer. */
  interface Reply {
    /**
     * @param retryAfter seconds, 0 for no advice
     */
    void comes(Answer answer, double retryAfter);
  }

  /** A request that is taken. */
  private static final class Open {
    final String id;
    final Asked asked;
    final long deadline;
    final Reply reply;
    final List<Try> tries = new ArrayList<>(1);
    int out;
    boolean ended;

    Open(String id, Asked asked, long deadline, Reply reply) {
      this.id = id;
      this.asked = asked;
      this.deadline = deadline;
      this.reply = reply;
    }
  }

  /** One send of a request to one box. */
  static final class Try {
    private final Open request;
    private final int number;
    private final long server;
    private final long deadline;
    private final long sentAt;
    private Link link;
    private long writtenAt;
    private boolean over;
    private Timeline.Entry timeout;

    private Try(Open request, int number, long server, long deadline, long sentAt) {
      this.request = request;
      this.number = number;
      this.server = server;
      this.deadline = deadline;
      this.sentAt = sentAt;
    }
  }

  /** A connection to a box, as both ends see it. Answers leave in the order of the requests. */
  private final class Link implements Box.Link {
    final long id;
    final Box box;
    final ArrayDeque<Try> underWay = new ArrayDeque<>();
    private final ArrayDeque<Turn> turns = new ArrayDeque<>();
    private final List<Runnable> untilReady = new ArrayList<>();
    private boolean ready;
    private boolean ended;

    Link(long id, Box box) {
      this.id = id;
      this.box = box;
    }

    /** The handshake's work is done. */
    void ready() {
      ready = true;
      untilReady.forEach(Runnable::run);
      untilReady.clear();
    }

    /** A request has come to the box. */
    void arrived(Try one) {
      if (ended) {
        return;
      }
      if (!ready) {
        untilReady.add(() -> arrived(one));
        return;
      }
      Turn turn = new Turn(one);
      turns.add(turn);
      Asked asked = one.request.asked;
      box.take(
          asked.key,
          settings.instanceNumber(),
          asked.write,
          asked.work,
          (result, note) -> {
            if (result == Outcome.Result.OK) {
              asked.executed(time.now(), Fleet.boxName(box.number));
            }
            turn.result = result;
            turn.note = note;
            leave();
          });
    }

    private void leave() {
      for (Turn turn = turns.peek(); turn != null && turn.result != null; turn = turns.peek()) {
        turns.poll();
        Turn one = turn;
        time.in(way(box), () -> answered(this, one));
      }
    }

    @Override
    public void reset() {
      time.in(way(box), () -> broken(this));
    }
  }

  /** The place of an answer in the order of a connection's. */
  private static final class Turn {
    final Try of;
    Outcome.Result result;
    Outcome.Note note;

    Turn(Try of) {
      this.of = of;
    }
  }

  private final Timeline time;
  private final Tally tally;

  /** When it was told that a box drains. */
  private final Map<Long, Long> drains = new HashMap<>();

  private final int zone;
  private final Fleet fleet;
  private final Map<Long, Box> boxes;
  private final Settings settings;
  private final Decider decider;
  private final Pools<Try> pools;
  private final Map<String, Open> open = new LinkedHashMap<>();
  private final Map<Long, Link> links = new LinkedHashMap<>();
  private final ArrayDeque<Runnable> events = new ArrayDeque<>();
  private boolean telling;
  private boolean dead;
  private long sent;
  private long handshakes;
  private long turnedDown;

  NodeModel(
      Timeline time,
      Tally tally,
      Fleet fleet,
      Settings settings,
      int zone,
      Map<Long, Box> boxes,
      long seed,
      UniformRandomProvider random) {
    this.time = time;
    this.tally = tally;
    this.fleet = fleet;
    this.settings = settings;
    this.zone = zone;
    this.boxes = boxes;
    this.decider = Decider.of(fleet.policy(), settings, seed, this);
    this.pools = new Pools<>(fleet.poolSettings(), random::nextDouble, this);
  }

  private double now() {
    return EPOCH_SECONDS + time.seconds();
  }

  private long way(Box box) {
    return (long) ((box.zone == zone ? fleet.network().near() : fleet.network().far()) * 1e9);
  }

  /** Attempts that went out. */
  long sent() {
    return sent;
  }

  long handshakes() {
    return handshakes;
  }

  long turnedDown() {
    return turnedDown;
  }

  // What happens to it.

  /** The list is known. */
  void list(MembershipUpdate update) {
    if (dead) {
      return;
    }
    for (ServerEntry entry : update.entries()) {
      if (entry.state() == ServerEntry.State.READY) {
        drains.remove(entry.id());
      } else {
        drains.putIfAbsent(entry.id(), time.now());
      }
      boolean old = entry.startedAt() == 0;
      pools.serverListed(
          entry.id(),
          false,
          old ? Long.MIN_VALUE : (long) ((entry.startedAt() - EPOCH_SECONDS) * 1e9));
    }
    tell(() -> decider.membership(now(), update));
  }

  /** A client asks. */
  void request(String id, Asked asked, long budget, boolean repeat, Reply reply) {
    if (dead) {
      // Nobody listens: it has not been carried out.
      reply.comes(Answer.REFUSED, 0);
      return;
    }
    Open request = new Open(id, asked, time.now() + budget, reply);
    open.put(id, request);
    Request told =
        new Request(
            id,
            "k" + asked.key,
            asked.service.name(),
            null,
            budget / 1e9,
            0,
            0,
            repeat,
            asked.write);
    tell(() -> decider.request(now(), told));
  }

  /** Ten times a second. */
  void sweep() {
    if (!dead) {
      pools.tick(time.now());
    }
  }

  /**
   * Ends at once, with all that it has taken: clients see their connections break, and boxes go on
   * with what has reached them.
   */
  void die() {
    dead = true;
    for (Link link : links.values()) {
      link.ended = true;
      link.box.disconnect(link);
    }
    links.clear();
    List<Open> taken = open.values().stream().filter(one -> !one.ended).toList();
    open.clear();
    taken.forEach(one -> answer(one, Answer.GONE, 0));
  }

  private void tell(Runnable event) {
    if (dead) {
      return;
    }
    events.add(event);
    if (telling) {
      return;
    }
    telling = true;
    try {
      for (Runnable next = events.poll(); next != null; next = events.poll()) {
        next.run();
      }
    } finally {
      telling = false;
    }
  }

  private void answered(Link link, Turn turn) {
    if (link.ended) {
      return;
    }
    Try one = link.underWay.poll();
    long now = time.now();
    pools.dataReceived(now, link.id);
    boolean turnedAway = turn.result == Outcome.Result.FULL;
    pools.attemptAnswered(now, link.id, one.writtenAt, !one.over, guarded(one), turnedAway);
    if (turn.result == Outcome.Result.OK && !one.request.ended && !one.over) {
      answer(one.request, Answer.SERVED, 0);
    }
    ended(one, turn.result, turn.note);
    pools.readCompleted(now, link.id, false);
  }

  private void broken(Link link) {
    if (link.ended) {
      return;
    }
    link.ended = true;
    links.remove(link.id);
    pools.connectionEnding(link.id, false);
    for (Try one = link.underWay.poll(); one != null; one = link.underWay.poll()) {
      ended(one, Outcome.Result.RESET, Outcome.Note.NONE);
    }
    pools.connectionClosed(time.now(), link.id);
  }

  private void ended(Try one, Outcome.Result result, Outcome.Note note) {
    if (one.over) {
      return;
    }
    one.over = true;
    if (one.timeout != null) {
      one.timeout.cancel();
    }
    Open request = one.request;
    double elapsed = (time.now() - one.sentAt) / 1e9;
    tell(
        () -> {
          request.out--;
          decider.outcome(
              now(),
              new Outcome(
                  request.id, one.number, one.server, result, elapsed, request.ended, note, null));
          settle(request);
        });
  }

  private void answer(Open request, Answer answer, double retryAfter) {
    request.ended = true;
    request.reply.comes(answer, retryAfter);
  }

  private void settle(Open request) {
    if (request.ended && request.out == 0) {
      open.remove(request.id, request);
    }
  }

  private boolean guarded(Try one) {
    return one.request.asked.service.effect() != Settings.Effect.SAFE;
  }

  private void withdraw(Try one, Outcome.Result result) {
    if (one.over || dead) {
      return;
    }
    boolean unsent = one.link == null && result == Outcome.Result.TIMEOUT;
    if (one.link == null) {
      pools.withdrawWaiting(one.server, one);
    } else {
      pools.attemptAbandoned(one.link.id, one.sentAt, result == Outcome.Result.TIMEOUT);
    }
    ended(one, unsent ? Outcome.Result.CONNECT_FAILED : result, Outcome.Note.NONE);
  }

  // What the decision module decides.

  @Override
  public void send(String requestId, long server, double timeout) {
    Open request = open.get(requestId);
    if (request == null) {
      return;
    }
    long now = time.now();
    long latest = request.deadline - MARGIN_NANOS;
    long deadline = timeout == 0 ? latest : Math.min(latest, now + (long) (timeout * 1e9));
    Try one = new Try(request, request.tries.size(), server, deadline, now);
    request.tries.add(one);
    request.out++;
    if (request.ended || one.number >= settings.limits().maxAttempts() || latest <= now) {
      ended(one, Outcome.Result.MOOT, Outcome.Note.NONE);
      return;
    }
    sent++;
    Long told = drains.get(server);
    if (told != null && now - told > settings.contract().drainGrace() * 1e9) {
      tally.drain(
          String.format(
              Locale.ROOT,
              "node %d, told at %.3f s, sent try %d of %s to box %d at %.3f s",
              settings.instanceNumber(),
              told / 1e9,
              one.number + 1,
              request.asked.story(),
              boxes.get(server).number,
              now / 1e9));
    }
    one.timeout = time.in(one.deadline - now, () -> withdraw(one, Outcome.Result.TIMEOUT));
    pools.send(now, server, one, guarded(one));
  }

  @Override
  public void cancel(String requestId, int attempt) {
    Open request = open.get(requestId);
    if (request != null && attempt < request.tries.size()) {
      withdraw(request.tries.get(attempt), Outcome.Result.CANCELLED);
    }
  }

  @Override
  public void refuse(String requestId, double retryAfter) {
    finish(requestId, Answer.REFUSED, retryAfter);
  }

  @Override
  public void fail(String requestId) {
    finish(requestId, Answer.FAILED, 0);
  }

  private void finish(String requestId, Answer answer, double retryAfter) {
    Open request = open.get(requestId);
    if (request != null && !request.ended) {
      answer(request, answer, retryAfter);
      settle(request);
    }
  }

  @Override
  public void setTimer(long token, double delay) {
    time.in((long) (delay * 1e9), () -> tell(() -> decider.timer(now(), token)));
  }

  @Override
  public void subscribe(boolean on) {
    // Changes are pushed here.
  }

  @Override
  public void closeIdle(long server) {
    pools.closeIdle(server);
  }

  // What the pools decide.

  @Override
  public void open(long server, long id) {
    Link link = new Link(id, boxes.get(server));
    time.in(way(link.box), () -> reach(link));
  }

  private void reach(Link link) {
    boolean taken = link.box.connect(link, settings.instanceNumber(), link::ready);
    time.in(
        way(link.box),
        () -> {
          if (dead) {
            link.ended = true;
            link.box.disconnect(link);
          } else if (!taken) {
            turnedDown++;
            pools.connectionFailed(time.now(), link.id, false);
          } else {
            handshakes++;
            links.put(link.id, link);
            pools.connectionOpened(time.now(), link.id);
          }
        });
  }

  @Override
  public boolean write(long id, Try one) {
    if (one.request.ended) {
      ended(one, Outcome.Result.MOOT, Outcome.Note.NONE);
      return false;
    }
    Link link = links.get(id);
    one.link = link;
    one.writtenAt = time.now();
    link.underWay.add(one);
    time.in(way(link.box), () -> link.arrived(one));
    return true;
  }

  @Override
  public void close(long id) {
    Link link = links.get(id);
    link.box.disconnect(link);
    // Told later, as the socket does.
    time.in(0, () -> broken(link));
  }

  @Override
  public void rejectUnreachable(Try one) {
    ended(one, Outcome.Result.CONNECT_FAILED, Outcome.Note.NONE);
  }

  @Override
  public void rejectFull(Try one) {
    ended(one, Outcome.Result.FULL, Outcome.Note.NONE);
  }
}
