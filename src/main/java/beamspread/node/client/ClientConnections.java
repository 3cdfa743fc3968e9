package beamspread.node.client;

import beamspread.loop.EventLoopMonitor;
import beamspread.loop.UnreleasedSockets;
import beamspread.pool.IdleTimeScale;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All client connections: tracks which are idle, and which are closed to make room. */
public final class ClientConnections {
  /**
   * Limits on client connections.
   *
   * @param maxConnections maximum number of open connections
   * @param commandTimeoutNanos time within which a command has to be complete, and the first one
   *     has to begin: a slow client takes 2 s for a command line, a silent one has to get an error
   *     within 3 s
   * @param idleTimeoutNanos how long an idle connection is kept while few are open
   * @param crowdedIdleTimeoutNanos how long an idle connection is kept while many are open
   * @param stallTimeoutNanos how long a client may read none of the data that is queued for it,
   *     once no answer of it can be in time any more
   * @param lingerTimeoutNanos how long a rejected client has to read the error line
   */
  public record Limits(
      int maxConnections,
      long commandTimeoutNanos,
      long idleTimeoutNanos,
      long crowdedIdleTimeoutNanos,
      long stallTimeoutNanos,
      long lingerTimeoutNanos) {

    /** Returns the limits of a node with this many connections. */
    public static Limits defaults(int maxConnections) {
      return new Limits(
          maxConnections,
          2_500_000_000L,
          10_000_000_000L,
          100_000_000L,
          3_000_000_000L,
          1_000_000_000L);
    }
  }

  /**
   * Age up to which a connection without commands is evicted only if none is idle: the time that a
   * first command takes over the network, with some reserve.
   */
  private static final long FIRST_COMMAND_GRACE_NANOS = 50_000_000L;

  /**
   * Time without data after which a connection that has sent a part of a command may be evicted: a
   * slow client pauses for less between two pieces.
   */
  private static final long PARTIAL_COMMAND_GRACE_NANOS = 300_000_000L;

  /**
   * Connections beyond the maximum that may be accepted in one turn of the event loop, in place of
   * evicted ones whose descriptors are not released yet. Well below the reserved descriptors.
   */
  private static final int MAX_REPLACED_PER_TURN = 16;

  /** Idle timeouts shrink while between one third and two thirds of the connections are open. */
  private static final IdleTimeScale IDLE_TIMEOUT_SCALE = new IdleTimeScale(1 / 3.0, 2 / 3.0);

  private final Limits limits;
  private final EventLoopMonitor loopWatch;
  private final UnreleasedSockets unreleasedSockets;
  private final InputMemory inputMemory;
  private final AnswerMemory answerMemory;
  private final LinkedHashSet<ClientHandler> open = new LinkedHashSet<>();

  /** Connections without any command so far, oldest first. */
  private final LinkedHashSet<ClientHandler> fresh = new LinkedHashSet<>();

  /** Connections between requests, longest idle first. */
  private final LinkedHashSet<ClientHandler> idle = new LinkedHashSet<>();

  /** Connections that wait for the rest of a command only, longest without data first. */
  private final LinkedHashSet<ClientHandler> partial = new LinkedHashSet<>();

  /** Connections that found no room, until they are closed; they are not in the other sets. */
  private final Set<ClientHandler> refused = new HashSet<>();

  /** Rejected connections that wait for the client to read the error line. */
  private final LinkedHashSet<ClientHandler> lingering = new LinkedHashSet<>();

  private final Map<ClientCloseCause, Long> closes = new EnumMap<>(ClientCloseCause.class);
  private final Map<ClientCloseCause, Long> lostAnswers = new EnumMap<>(ClientCloseCause.class);
  private volatile boolean draining;
  private long drainDeadlineNanos;
  private Runnable onEmpty;
  private long acceptedCount;

  /** Client connections of other processes of this node. */
  private int heldByOtherProcesses;

  /**
   * Creates an empty set of connections.
   *
   * @param loopWatch the watch of the event loop that the connections run on
   * @param unreleasedSockets the count of sockets that were closed in this turn of the loop
   * @param inputMemory the bound on undecoded input of all connections together
   * @param answerMemory the bound on unread answers of all connections together
   */
  public ClientConnections(
      Limits limits,
      EventLoopMonitor loopWatch,
      UnreleasedSockets unreleasedSockets,
      InputMemory inputMemory,
      AnswerMemory answerMemory) {
    this.limits = limits;
    this.loopWatch = loopWatch;
    this.unreleasedSockets = unreleasedSockets;
    this.inputMemory = inputMemory;
    this.answerMemory = answerMemory;
  }

  InputMemory inputMemory() {
    return inputMemory;
  }

  AnswerMemory answerMemory() {
    return answerMemory;
  }

  Limits limits() {
    return limits;
  }

  /**
   * Reduces the maximum by the connections of other processes of this node, down to one half. No
   * open connection is closed for that: excess connections are evicted by new ones, or time out
   * when idle.
   *
   * @param held number of client connections of the other processes
   */
  public void setHeldByOtherProcesses(int held) {
    heldByOtherProcesses = held;
  }

  /** Returns a clock in nanoseconds that excludes stalls of the event loop. */
  public long idleClockNanos() {
    long now = System.nanoTime();
    return now - loopWatch.pausedNanos(now);
  }

  /** Returns how long data that is read now can have been unread; 0 if the loop is not late. */
  long maxUnreadNanos(long now) {
    return loopWatch.maxUnreadNanos(now);
  }

  /** Returns the number of the event loop's current turn. */
  long loopTurn() {
    return loopWatch.turn();
  }

  private int maxOpen() {
    int max = limits.maxConnections();
    return Math.max(1, Math.max(max / 2, max - heldByOtherProcesses));
  }

  /**
   * Returns how long an idle connection is kept; the more connections are open, the shorter.
   *
   * <p>Clients that send one request and keep their connection would use up the connections that
   * all clients together may have, long before this node reaches its own limit, so that other
   * clients get none. The same holds for connection pools that are left open. With few connections
   * open none is closed early, since a new connection costs work on both sides, and a close may
   * cross a request, which is then late or, if this node stalls meanwhile, lost. A short timeout is
   * harmful if many clients send their next request after a short pause.
   */
  long idleTimeoutNanos() {
    double fillRatio = (double) open.size() / maxOpen();
    return IDLE_TIMEOUT_SCALE.idleTimeNanos(
        fillRatio, limits.idleTimeoutNanos(), limits.crowdedIdleTimeoutNanos());
  }

  /**
   * Returns whether the descriptors suffice to accept one more connection now. Otherwise it waits
   * in the operating system's queue until the event loop's next turn.
   *
   * @param unregistered number of accepted connections that are not registered yet
   */
  public boolean mayAccept(int unregistered) {
    int held = open.size() + refused.size() + unreleasedSockets.count() + unregistered;
    return held < limits.maxConnections() + MAX_REPLACED_PER_TURN;
  }

  /**
   * Adds a new connection; returns false if there is no room for it, and it has to be closed at
   * once. At the maximum, which keeps the process from running out of descriptors, the connection
   * least likely to be in use is evicted, but never one with an open request. Clients that connect
   * long before their first request may have to reconnect.
   */
  boolean register(ClientHandler client) {
    acceptedCount++;
    if (open.size() >= maxOpen() && !makeRoom()) {
      refused.add(client);
      return false;
    }
    open.add(client);
    fresh.add(client);
    return true;
  }

  /**
   * Closes one connection that no request uses. Each candidate's socket is read first, since its
   * client may have sent a request while the event loop was stalled; that request is then accepted.
   */
  private boolean makeRoom() {
    ClientHandler candidate = first(lingering);
    if (candidate != null) {
      removeBeforeClose(candidate);
      candidate.closeLingering();
      return true;
    }
    int checksLeft = fresh.size() + partial.size() + idle.size();
    for (; checksLeft > 0; checksLeft--) {
      candidate = evictionCandidate();
      if (candidate == null) {
        return false;
      }
      if (candidate.isUnusedAfterRead()) {
        removeBeforeClose(candidate);
        candidate.evict();
        return true;
      }
      moveToEnd(candidate);
    }
    return false;
  }

  /** Moves a connection that may not be evicted behind the others in its set. */
  private void moveToEnd(ClientHandler client) {
    for (LinkedHashSet<ClientHandler> clients : List.of(fresh, partial, idle)) {
      if (clients.remove(client)) {
        clients.add(client);
      }
    }
  }

  /** Returns the connection that may be evicted first; null if there is none. */
  private ClientHandler evictionCandidate() {
    long now = idleClockNanos();
    ClientHandler silent = first(fresh);
    if (silent != null && now - silent.idleSinceNanos() >= FIRST_COMMAND_GRACE_NANOS) {
      return silent;
    }
    ClientHandler stopped = first(partial);
    if (stopped != null && now - stopped.lastDataNanos() >= PARTIAL_COMMAND_GRACE_NANOS) {
      return stopped;
    }
    return idle.isEmpty() ? silent : first(idle);
  }

  private static ClientHandler first(LinkedHashSet<ClientHandler> clients) {
    Iterator<ClientHandler> iterator = clients.iterator();
    return iterator.hasNext() ? iterator.next() : null;
  }

  void markBusy(ClientHandler client) {
    fresh.remove(client);
    idle.remove(client);
    partial.remove(client);
  }

  /** Marks a connection as waiting for the rest of a command, of which a part has just come. */
  void markPartial(ClientHandler client) {
    markBusy(client);
    partial.add(client);
  }

  /** Marks a connection as idle, or closes it in a drain; all its requests are answered. */
  void markIdle(ClientHandler client) {
    if (draining) {
      client.closeAfterAnswers();
    } else {
      idle.add(client);
    }
  }

  void markLingering(ClientHandler client) {
    markBusy(client);
    lingering.add(client);
  }

  void onClosed(ClientHandler client) {
    if (refused.remove(client) || open.contains(client)) {
      unreleasedSockets.socketClosed();
    }
    remove(client);
    if (draining && open.isEmpty()) {
      onEmpty.run();
    }
  }

  /**
   * Removes a connection that the caller closes now. That it has closed is reported later, in a
   * task of the event loop, so its descriptor is counted here.
   */
  private void removeBeforeClose(ClientHandler client) {
    unreleasedSockets.socketClosed();
    remove(client);
  }

  private void remove(ClientHandler client) {
    open.remove(client);
    markBusy(client);
    lingering.remove(client);
  }

  /** Closes connections whose time limits have passed. */
  public void closeExpired(long now) {
    for (ClientHandler client : List.copyOf(open)) {
      client.closeIfExpired(now);
    }
  }

  /** Returns the number of open connections. */
  public int openCount() {
    return open.size();
  }

  /** Records why a connection ended. */
  void recordClose(ClientCloseCause cause) {
    closes.merge(cause, 1L, Long::sum);
  }

  /** Records how many answers to requests that may have run were lost with a connection. */
  void recordLostAnswers(ClientCloseCause cause, long answers) {
    if (answers > 0) {
      lostAnswers.merge(cause, answers, Long::sum);
    }
  }

  /**
   * Returns how many answers to requests that may have run were lost since the start because this
   * node closed their connections, for each cause.
   */
  public Map<ClientCloseCause, Long> lostAnswersByCause() {
    return lostAnswers;
  }

  /** Returns how many connections have ended since the start, for each cause. */
  public Map<ClientCloseCause, Long> closesByCause() {
    return closes;
  }

  /** Returns the number of connections accepted since the start. */
  public long acceptedCount() {
    return acceptedCount;
  }

  /** Returns whether connections are being drained for a planned restart. */
  public boolean isDraining() {
    return draining;
  }

  /**
   * Returns whether a request with this budget is due before this process ends. In a drain other
   * requests are refused, so that the client can send them to another node.
   *
   * @param budgetSeconds the time until the request's deadline, in seconds
   */
  boolean canAnswerInTime(double budgetSeconds) {
    return !draining || System.nanoTime() + (long) (budgetSeconds * 1e9) - drainDeadlineNanos <= 0;
  }

  /**
   * Closes each connection as soon as it is idle.
   *
   * @param deadlineNanos when this process ends at the latest, as of {@link System#nanoTime()}
   * @param afterDrain runs when no connection is left
   */
  public void drain(long deadlineNanos, Runnable afterDrain) {
    draining = true;
    drainDeadlineNanos = deadlineNanos;
    onEmpty = afterDrain;
    for (ClientHandler client : List.copyOf(open)) {
      client.drain();
    }
    if (open.isEmpty()) {
      afterDrain.run();
    }
  }
}
