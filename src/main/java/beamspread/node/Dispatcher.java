package beamspread.node;

import beamspread.loop.StandReserve;
import beamspread.maintenance.Figures;
import beamspread.maintenance.Tally;
import beamspread.model.Learnt;
import beamspread.model.LoadReport;
import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Request;
import beamspread.model.Settings;
import beamspread.node.client.ClientHandler;
import beamspread.node.client.Requests;
import beamspread.node.handover.LearntNote;
import beamspread.node.relay.ValueRelays;
import beamspread.node.server.Attempt;
import beamspread.node.server.Outcomes;
import beamspread.node.server.ServerPools;
import beamspread.node.server.ValueSink;
import beamspread.node.server.ValueSource;
import beamspread.node.wire.MetaCommand;
import beamspread.node.wire.MetaReply;
import beamspread.policy.Actions;
import beamspread.policy.Balancer;
import beamspread.pool.PoolSettings;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Stands between the decision module and the sockets: tells it what happens, one event after the
 * other, and carries out what it decides. All of it runs on the event loop.
 */
final class Dispatcher implements Actions, Requests, Outcomes {
  /**
   * The node stops waiting for an attempt this long before the client stops waiting for the node,
   * so that the module hears of the time-out before it must answer, and the answer is in time.
   */
  private static final long ANSWER_MARGIN_NANOS = 2_000_000;

  /** The part of the time for a connect that the way of one command takes: a third is one trip. */
  private static final int WAY_PART = 3;

  private static final long TELL_AGAIN_NANOS = 60_000_000_000L;

  /** Troubles of the list that are remembered. */
  private static final int TROUBLES = 64;

  /** How often requests are looked through for overdue ones after the module has failed. */
  private static final long RESCUE_MILLIS = 10;

  /** Something that has happened, to be told to the module. */
  private interface Event {
    void tell(double now);
  }

  private final Clock clock = new Clock();
  private final EventLoop loop;
  private final Settings settings;
  private final Log log;
  private final Balancer balancer;
  private final ServerPools pools;
  private final ValueRelays relays;
  private final Targets targets;
  private final Figures figures;
  private final DiscoveryClient discovery;
  private final Map<String, OpenRequest> open = new HashMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final long longestDeadlineNanos;
  private final StandReserve reserve = new StandReserve();

  /** Requests that are taken and have no final answer, and whose clients are still there. */
  private int unanswered;

  private final Map<String, Settings.ServiceClass> types = new HashMap<>();

  /** The classes whose requests may not be repeated at will. */
  private final Set<String> guarded = new HashSet<>();

  /** Null where nobody asked for it. */
  private Tally tally;

  private NodeConfig config;
  private int heldByOthers;
  private boolean telling;

  /** When each trouble of the list was last told. */
  private final Map<String, Long> toldAt =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > TROUBLES;
        }
      };

  /** When this process gives its last answers, on the clock of {@link System#nanoTime()}. */
  private long endsAt;

  private boolean ends;
  private boolean rescuing;
  private long rescueUntil;

  Dispatcher(
      NodeConfig config,
      EventLoop loop,
      Bootstrap bootstrap,
      PoolSettings poolSettings,
      long stuckNanos,
      ValueRelays relays,
      Log log) {
    this.loop = loop;
    this.relays = relays;
    this.config = config;
    this.longestDeadlineNanos = (long) (config.longestDeadline() * 1e9);
    this.settings = config.settings();
    this.log = log;
    this.pools =
        new ServerPools(
            loop,
            bootstrap,
            poolSettings,
            stuckNanos,
            new SplittableRandom(config.seed())::nextDouble,
            this);
    for (Settings.ServiceClass service : settings.services()) {
      types.put(service.name(), service);
      if (service.effect() != Settings.Effect.SAFE) {
        guarded.add(service.name());
      }
    }
    this.figures =
        new Figures(settings.services().stream().map(Settings.ServiceClass::name).toList());
    this.balancer = new Balancer(settings, config.seed(), this);
    this.targets =
        new Targets(pools, clock, update -> tell(now -> balancer.membership(now, update)));
    this.discovery =
        new DiscoveryClient(
            loop,
            bootstrap,
            config.discovery(),
            settings.asksForList(),
            config.known().version(),
            this);
  }

  /**
   * Begins to write what is done in each second to the log.
   *
   * @param clients how many connections of clients there are
   */
  void tally(IntSupplier clients) {
    tally = new Tally();
    loop.scheduleAtFixedRate(
        () ->
            log.line(
                tally.line(
                    System.currentTimeMillis(),
                    new Tally.Gauges(
                        unanswered,
                        open.values().stream().mapToInt(request -> request.out).sum(),
                        clients.getAsInt(),
                        pools.sockets(),
                        pools.opened(),
                        pools.turnedDown()))),
        1,
        1,
        TimeUnit.SECONDS);
  }

  /** Tells the module the list as it was last known, and begins to follow it. */
  void start(MemberList known) {
    targets.list(known, MembershipUpdate.Kind.REMEMBERED);
    if (!settings.asksForList()) {
      discovery.follow();
    }
  }

  /**
   * Takes over what may change while the node runs: where discovery is. What the module was built
   * from stays as it is until the next start, since it holds promises made by the old figures.
   */
  void reload(NodeConfig changed) {
    if (!changed.discovery().equals(config.discovery())) {
      log.line("discovery moves to " + changed.discovery());
      discovery.move(changed.discovery());
    }
    pools.use(changed.pool().without(heldByOthers));
    if (changed.needsRestart(config)) {
      log.line("new settings, limits or listening address: taken over at the next start");
    }
    config = changed;
  }

  /**
   * This process ends soon: whatever is open by then is answered, however long its client would
   * still wait, since nothing else ever answers it.
   *
   * @param at on the clock of {@link System#nanoTime()}
   */
  void endBy(long at) {
    endsAt = at;
    ends = true;
    loop.schedule(
        () -> List.copyOf(open.values()).forEach(this::fail),
        at - System.nanoTime(),
        TimeUnit.NANOSECONDS);
  }

  /**
   * Leaves other processes of this node what they hold: sockets to cache servers, and open
   * requests, since clients have connections for so many together. A third stays, lest nothing be
   * taken here.
   */
  void share(int sockets, int openRequests) {
    balancer.share(Math.min(openRequests, settings.limits().maxOpen() / 3 * 2));
    if (sockets != heldByOthers) {
      heldByOthers = sockets;
      pools.use(config.pool().without(sockets));
    }
  }

  /**
   * Tells the module of an event, and then of those that its own actions cause: the module is never
   * called from within one of its calls.
   */
  private void tell(Event event) {
    events.add(event);
    if (telling) {
      return;
    }
    telling = true;
    try {
      for (Event next = events.poll(); next != null; next = events.poll()) {
        try {
          next.tell(clock.now());
        } catch (RuntimeException | VirtualMachineError e) {
          report("decision module", e);
          rescue();
        }
      }
    } finally {
      telling = false;
    }
  }

  /**
   * Guards against an exception in the module that makes it forget a request: for as long as one
   * that was open then can last, what the module has not answered in time is answered here.
   */
  private void rescue() {
    rescueUntil = System.nanoTime() + longestDeadlineNanos + 1_000_000_000L;
    if (!rescuing) {
      rescuing = true;
      loop.schedule(this::rescueOverdue, RESCUE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void rescueOverdue() {
    long now = System.nanoTime();
    for (OpenRequest request : List.copyOf(open.values())) {
      if (now - request.deadlineNanos > 0) {
        fail(request);
      }
    }
    rescuing = now - rescueUntil < 0;
    if (rescuing) {
      loop.schedule(this::rescueOverdue, RESCUE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  ServerPools pools() {
    return pools;
  }

  /** The loop has stood still for so long until now. */
  void stood(long nanos) {
    reserve.stood(System.nanoTime(), nanos);
  }

  /** What a successor had better know, null if too little is learnt yet. */
  byte[] learnt() {
    double now = clock.now();
    return LearntNote.write(now, balancer.learnt(now));
  }

  /** Takes over a predecessor's note once the list is known; whether it was a good one. */
  boolean inherit(byte[] note) {
    Learnt learnt = LearntNote.read(clock.now(), note);
    if (learnt != null) {
      balancer.inherit(learnt);
    }
    return learnt != null;
  }

  Targets targets() {
    return targets;
  }

  Figures figures() {
    return figures;
  }

  int openRequests() {
    return open.size();
  }

  /** Requests that are taken and have no final answer, or not all of it. */
  int unanswered() {
    return unanswered + relays.passing();
  }

  @Override
  public void report(String where, Throwable cause) {
    log.failure(where, cause);
  }

  // What clients do.

  @Override
  public Taken request(MetaCommand command, ClientHandler.Slot slot) {
    if (open.containsKey(command.request.id())) {
      command.release();
      slot.line("CLIENT_ERROR id in use");
      return null;
    }
    // Longer than the longest deadline no client waits, and no restart.
    long wait = Math.min(longestDeadlineNanos, (long) (command.request.budget() * 1e9));
    long now = System.nanoTime();
    if (ends) {
      wait = Math.max(0, Math.min(wait, endsAt - now));
    }
    long held = reserve.nanos(now, wait);
    OpenRequest request = new OpenRequest(command, slot, now, now + wait - held);
    Request known =
        held == 0 && !ends ? command.request : command.request.within((wait - held) / 1e9);
    open.put(request.id(), request);
    unanswered++;
    if (tally != null) {
      tally.taken(command.request.write());
    }
    tell(
        at -> {
          try {
            balancer.request(at, known);
          } catch (RuntimeException | VirtualMachineError e) {
            report("decision module", e);
            fail(request);
          }
        });
    return () -> clientGone(request);
  }

  @Override
  public void refused(String serviceClass) {
    figures.replied(serviceClass, Figures.Reply.OVERLOAD);
  }

  private void clientGone(OpenRequest request) {
    if (request.ended) {
      return;
    }
    over(request);
    if (tally != null) {
      tally.gone();
    }
    tell(
        now -> {
          try {
            balancer.clientGone(now, request.id());
          } finally {
            settle(request);
          }
        });
  }

  // What cache servers do.

  @Override
  public void ended(Attempt attempt, Outcome.Result result) {
    ended((RequestAttempt) attempt, result, Outcome.Note.NONE, null);
  }

  private void ended(
      RequestAttempt attempt, Outcome.Result result, Outcome.Note note, LoadReport load) {
    if (!attempt.settle()) {
      return;
    }
    if (attempt.timeout != null) {
      attempt.timeout.cancel(false);
    }
    attempt.mayHaveRun = !result.provesNotRun();
    OpenRequest request = attempt.request;
    double elapsed = (System.nanoTime() - attempt.sentAt) / 1e9;
    tell(
        now -> {
          request.out--;
          Outcome outcome =
              new Outcome(
                  request.id(),
                  attempt.number,
                  attempt.server,
                  result,
                  elapsed,
                  request.ended,
                  note,
                  load);
          if (tally != null) {
            tally.ended(outcome, request.command.request.write());
          }
          try {
            balancer.outcome(now, outcome);
          } finally {
            settle(request);
          }
        });
  }

  /**
   * Looks at the client's socket before an attempt begins. What else is found there is told to the
   * module afterwards: it may be deciding just now, and the pools are.
   */
  @Override
  public boolean wanted(Attempt attempt) {
    OpenRequest request = ((RequestAttempt) attempt).request;
    if (!request.ended) {
      boolean inner = telling;
      telling = true;
      try {
        if (request.slot.clientLeft()) {
          clientGone(request);
        }
      } finally {
        telling = inner;
      }
      if (!inner && !events.isEmpty()) {
        loop.execute(() -> tell(now -> {}));
      }
    }
    return !request.ended;
  }

  @Override
  public void written(Attempt attempt) {
    figures.dispatched();
  }

  /** A reply has come; it is dropped where the module has been told another end. */
  @Override
  public void replied(Attempt answered, MetaReply reply) {
    RequestAttempt attempt = (RequestAttempt) answered;
    OpenRequest request = attempt.request;
    if (reply.result() == Outcome.Result.OK && !request.ended && !attempt.over()) {
      over(request);
      served(request);
      figures.replied(request.command.request.serviceClass(), Figures.Reply.SUCCESS);
      request.slot.answer(answer(request.slot.alloc(), reply));
    }
    ended(attempt, reply.result(), reply.note(), reply.load());
  }

  @Override
  public ValueSink begun(Attempt answered, MetaReply head, ValueSource source) {
    RequestAttempt attempt = (RequestAttempt) answered;
    OpenRequest request = attempt.request;
    ValueSink sink = null;
    if (!request.ended && !attempt.over()) {
      over(request);
      served(request);
      String type = request.command.request.serviceClass();
      sink =
          relays.begin(
              head,
              source,
              request.slot,
              whole -> figures.replied(type, whole ? Figures.Reply.SUCCESS : Figures.Reply.ERROR));
    }
    // For the module the server has answered: when its first bytes came is what tells of it.
    ended(attempt, head.result(), head.note(), head.load());
    return sink;
  }

  private void served(OpenRequest request) {
    if (tally != null) {
      String type = request.command.request.serviceClass();
      double aim =
          settings.services().stream()
              .filter(service -> service.name().equals(type))
              .mapToDouble(Settings.ServiceClass::aim)
              .findFirst()
              .orElse(Double.POSITIVE_INFINITY);
      tally.served(request.command.request.write(), request.age() > aim);
    }
  }

  private static ByteBuf answer(ByteBufAllocator allocator, MetaReply reply) {
    int size = reply.value() == null ? 0 : reply.value().readableBytes();
    ByteBuf bytes = allocator.buffer(reply.id().length() + 48 + size);
    if (reply.value() == null) {
      ByteBufUtil.writeAscii(bytes, "HD O");
      ByteBufUtil.writeAscii(bytes, reply.id());
      ByteBufUtil.writeAscii(bytes, " c");
      ByteBufUtil.writeAscii(bytes, reply.receipt());
    } else {
      ByteBufUtil.writeAscii(bytes, "VA ");
      ByteBufUtil.writeAscii(bytes, Integer.toString(size - 2));
      ByteBufUtil.writeAscii(bytes, " O");
      ByteBufUtil.writeAscii(bytes, reply.id());
    }
    bytes.writeShort(0x0D0A);
    return size > 0 ? bytes.writeBytes(reply.value(), reply.value().readerIndex(), size) : bytes;
  }

  // What discovery says.

  void list(MemberList list) {
    list.faults().forEach(this::listTrouble);
    targets.list(list, list.full() ? MembershipUpdate.Kind.FULL : MembershipUpdate.Kind.CHANGES);
  }

  /** Something is wrong with the list or with a call for it; told once a minute by its kind. */
  void listTrouble(String why) {
    long now = System.nanoTime();
    Long before = toldAt.get(why);
    if (before == null || now - before > TELL_AGAIN_NANOS) {
      toldAt.put(why, now);
      log.line("discovery: " + why);
    }
  }

  void listFailed(String why) {
    listTrouble(why);
    tell(
        now ->
            balancer.membership(
                now, new MembershipUpdate(MembershipUpdate.Kind.FAILED, 0, List.of())));
  }

  // What the module decides.

  @Override
  public void send(String requestId, long server, double timeout) {
    OpenRequest request = open.get(requestId);
    if (request == null) {
      log.line("send for unknown request " + requestId);
      return;
    }
    long now = System.nanoTime();
    long latest = request.deadlineNanos - ANSWER_MARGIN_NANOS;
    long deadline = timeout == 0 ? latest : Math.min(latest, now + (long) (timeout * 1e9));
    RequestAttempt attempt =
        new RequestAttempt(
            request,
            request.attempts.size(),
            server,
            deadline,
            guarded.contains(request.command.request.serviceClass()),
            repeatableUntil(request));
    request.attempts.add(attempt);
    request.out++;
    if (tally != null) {
      tally.sent(attempt.number == 0, request.age());
    }
    if (request.ended || attempt.number >= settings.limits().maxAttempts() || latest - now <= 0) {
      ended(attempt, Outcome.Result.MOOT);
      return;
    }
    attempt.timeout =
        loop.schedule(() -> timeOut(attempt), Math.max(0, deadline - now), TimeUnit.NANOSECONDS);
    pools.send(attempt);
  }

  /**
   * Until when one more attempt of a request may begin. Guards against an effect carried out twice:
   * the module reckons with the time that a connection takes to come up, but an attempt may wait
   * for one for longer, and by then servers have forgotten the first.
   */
  private long repeatableUntil(OpenRequest request) {
    Settings.ServiceClass type = types.get(request.command.request.serviceClass());
    if (type.effect() != Settings.Effect.KEYED) {
      return RequestAttempt.ANY_TIME;
    }
    for (RequestAttempt earlier : request.attempts) {
      if (earlier.mayHaveRun) {
        double window = type.repeatWindow() - settings.limits().connectTimeout() / WAY_PART;
        return earlier.sentAt + (long) (Math.max(0, window) * 1e9);
      }
    }
    return RequestAttempt.ANY_TIME;
  }

  /**
   * An attempt's time is over. Guards against giving up one whose answer has come while this node
   * did not run: the timer is due before the loop has looked at the socket.
   */
  private void timeOut(RequestAttempt attempt) {
    pools.look(attempt);
    withdraw(attempt, Outcome.Result.TIMEOUT);
  }

  /** Stops waiting for an attempt. */
  private void withdraw(RequestAttempt attempt, Outcome.Result result) {
    if (!attempt.over()) {
      // Its time ran out while it waited for a connection: that none came up proves it never ran.
      boolean unsent = !attempt.sent() && result == Outcome.Result.TIMEOUT;
      pools.withdraw(attempt, result == Outcome.Result.TIMEOUT);
      ended(attempt, unsent ? Outcome.Result.CONNECT_FAILED : result);
    }
  }

  @Override
  public void cancel(String requestId, int number) {
    OpenRequest request = open.get(requestId);
    if (request != null && number < request.attempts.size()) {
      withdraw(request.attempts.get(number), Outcome.Result.CANCELLED);
    }
  }

  @Override
  public void refuse(String requestId, double retryAfter) {
    long millis = Math.round(retryAfter * 1e3);
    end(
        open.get(requestId),
        Figures.Reply.OVERLOAD,
        "SERVER_ERROR busy" + (millis > 0 ? " " + millis : ""));
  }

  @Override
  public void fail(String requestId) {
    fail(open.get(requestId));
  }

  private void fail(OpenRequest request) {
    end(request, Figures.Reply.ERROR, "SERVER_ERROR failed");
  }

  private void end(OpenRequest request, Figures.Reply reply, String answer) {
    if (request != null && !request.ended) {
      over(request);
      if (tally != null && reply == Figures.Reply.OVERLOAD) {
        tally.refused(request.attempts.isEmpty());
      } else if (tally != null) {
        tally.failed();
      }
      figures.replied(request.command.request.serviceClass(), reply);
      request.slot.line(answer);
      settle(request);
    }
  }

  /** The request has its final answer, or its client has gone. */
  private void over(OpenRequest request) {
    request.ended = true;
    unanswered--;
  }

  /** Forgets what is over. */
  private void settle(OpenRequest request) {
    if (request.ended) {
      request.command.release();
      if (request.out == 0) {
        open.remove(request.id(), request);
      }
    }
  }

  @Override
  public void wake(long token, double delay) {
    loop.schedule(
        () -> tell(now -> balancer.timer(now, token)), (long) (delay * 1e9), TimeUnit.NANOSECONDS);
  }

  @Override
  public void subscribe(boolean on) {
    if (on) {
      discovery.follow();
    } else {
      discovery.stop();
    }
  }

  @Override
  public void closeIdle(long server) {
    pools.closeIdle(server);
  }
}
