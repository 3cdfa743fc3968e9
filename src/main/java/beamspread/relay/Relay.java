package beamspread.relay;

/** Relays one large value from a cache server to a client. Not thread-safe. */
public final class Relay {
  private enum Phase {
    /** Parts are received and passed on to the client. */
    RELAYING,

    /** The whole value was received; the client has not read all of it. */
    COMPLETE,

    /** No more will be received; the client may read what there is. */
    ABORTED,

    /** The client has disconnected or was cut; the rest is read and dropped. */
    DISCARDING,

    ENDED
  }

  /**
   * Longest time for which a value is held until it is whole: the rest of a value that comes may
   * not be held back for 2 s.
   */
  public static final long MAX_WHOLE_HOLD_NANOS = 1_800_000_000L;

  private final Relays relays;
  private final RelayActions actions;
  private Phase phase = Phase.RELAYING;

  /** Whether nothing of it is passed on before all of it was received. */
  private boolean heldUntilWhole;

  /** Whether room for all of it is reserved. */
  private boolean hasReservation;

  /** Until when it may be held to become whole. */
  private long holdDeadline;

  /** Size of the whole value in bytes. */
  private final long length;

  /** Bytes not yet received from the cache server. */
  private long remainingBytes;

  /** Bytes received and not yet read by the client. */
  private int heldBytes;

  /** Whether all earlier answers are with the client, so that this value is being written. */
  private boolean clientReady;

  /** Until when the request's client waits in any case. */
  private final long deadline;

  private long lastReceivedAt;

  /** Start of the current pace window, and bytes read by the client within it. */
  private long paceWindowStart;

  private long paceWindowBytes;

  /** When the client last read something, or could have begun to. */
  private long lastDeliveredAt;

  Relay(Relays relays, RelayActions actions, long now, long length, long deadline) {
    this.relays = relays;
    this.actions = actions;
    this.length = length;
    this.remainingBytes = length;
    this.lastReceivedAt = now;
    this.deadline = deadline;
  }

  int heldBytes() {
    return heldBytes;
  }

  long remainingBytes() {
    return remainingBytes;
  }

  /** Returns whether its bytes go on to the client, so that what is held gets less by itself. */
  boolean isClientReady() {
    return clientReady;
  }

  /**
   * Returns how much of the shared memory it takes, beside the part for values before their turn.
   */
  long committedBytes() {
    if (hasReservation) {
      return heldBytes + remainingBytes;
    }
    return clientReady ? heldBytes : 0;
  }

  /**
   * Records a received part.
   *
   * @return whether it is passed on to the client; otherwise it is dropped
   */
  public boolean received(long now, int bytes) {
    lastReceivedAt = now;
    remainingBytes -= bytes;
    if (phase != Phase.RELAYING) {
      return false;
    }
    if (heldBytes == 0) {
      restartPaceWindow(now);
      lastDeliveredAt = now;
    }
    heldBytes += bytes;
    relays.heldBytes(bytes);
    if (!hasReservation && relays.pauseIfFull(this)) {
      actions.setReading(false);
    }
    return true;
  }

  /** Records that the value was received in full, with the announced length. */
  public void completed(long now) {
    lastReceivedAt = now;
    if (phase == Phase.DISCARDING) {
      end(false);
    } else if (phase == Phase.RELAYING) {
      phase = Phase.COMPLETE;
      relays.unpause(this);
      endIfDelivered();
    }
  }

  /**
   * Records that the cache server's connection has ended within the value, or sent invalid data.
   */
  public void aborted() {
    if (phase == Phase.DISCARDING) {
      end(false);
    } else if (phase == Phase.RELAYING) {
      phase = Phase.ABORTED;
      relays.recordAbortByServer();
      relays.unpause(this);
      if (clientReady) {
        endIfDelivered();
      } else {
        // Nothing of it was sent to the client yet, so the client gets an error line.
        cutAndEnd();
      }
    }
  }

  /**
   * Holds the value until all of it was received, because other answers wait behind it and would be
   * lost with it if it broke off halfway. Until then it can be refused: at once if it is larger
   * than the memory for values, and otherwise when it takes too long. Further calls can only
   * shorten the time.
   *
   * @param nanos how long the answers behind it can wait
   */
  public void holdUntilWhole(long now, long nanos) {
    if (phase != Phase.RELAYING || clientReady) {
      return;
    }
    long deadlineOfOthers = now + Math.min(nanos, MAX_WHOLE_HOLD_NANOS);
    if (heldUntilWhole) {
      holdDeadline = Math.min(holdDeadline, deadlineOfOthers);
      return;
    }
    if (length > relays.settings().maxHeldTotal()) {
      refuse(now);
      return;
    }
    heldUntilWhole = true;
    holdDeadline = deadlineOfOthers;
    reserveIfRoom(now);
  }

  /** Reserves room for all of the value if it is held and the room is there. */
  private void reserveIfRoom(long now) {
    if (!heldUntilWhole || hasReservation || phase != Phase.RELAYING) {
      return;
    }
    hasReservation = relays.reserveWhole(this, length);
    if (hasReservation && relays.unpause(this)) {
      resume(now);
    }
  }

  /** Refuses a value of which nothing was passed on, in favour of the answers behind it. */
  private void refuse(long now) {
    relays.recordRefusedUnfinished();
    actions.cutClient();
    endForClient(now);
  }

  /** Records that all earlier answers are with the client and this value is being written. */
  public void clientReady(long now) {
    clientReady = true;
    restartPaceWindow(now);
    lastDeliveredAt = now;
  }

  /** Records that the client has read this many bytes. */
  public void delivered(long now, int bytes) {
    if (phase == Phase.ENDED || phase == Phase.DISCARDING) {
      return;
    }
    heldBytes -= bytes;
    paceWindowBytes += bytes;
    lastDeliveredAt = now;
    if (paceWindowBytes >= relays.settings().minPaceBytes()) {
      restartPaceWindow(now);
    }
    endIfDelivered();
    relays.released(now, this, bytes);
  }

  /** Checks its time limits now. */
  public void checkDeadlines(long now) {
    if (phase != Phase.ENDED) {
      tick(now);
    }
  }

  /** Records that the client has disconnected. */
  public void clientDisconnected(long now) {
    if (phase != Phase.ENDED && phase != Phase.DISCARDING) {
      endForClient(now);
    }
  }

  /**
   * Ends the relay for the client, and decides whether the rest of the value is read or its
   * connection closed.
   */
  private void endForClient(long now) {
    boolean incomplete = phase == Phase.RELAYING;
    int releasedBytes = heldBytes;
    heldBytes = 0;
    if (!incomplete) {
      end(false);
    } else if (actions.isShared() || remainingBytes <= relays.settings().maxDiscardBytes()) {
      // Closing would break the answers that wait behind it, and a new connection costs the server
      // more than the remaining bytes.
      phase = Phase.DISCARDING;
      releaseReservation();
      lastReceivedAt = now;
      if (relays.unpause(this)) {
        actions.setReading(true);
      }
      actions.ended(false);
    } else {
      actions.closeServerConnection();
      end(false);
    }
    relays.released(now, this, releasedBytes);
  }

  /** Checks the time limits of the server and the client; none ends before the deadline. */
  void tick(long now) {
    if (heldUntilWhole && phase == Phase.RELAYING && now - holdDeadline >= 0) {
      refuse(now);
      return;
    }
    reserveIfRoom(now);
    if (isServerSilent(now)) {
      actions.closeServerConnection();
      aborted();
    }
    boolean awaitsClient = phase == Phase.RELAYING || phase == Phase.COMPLETE;
    awaitsClient |= phase == Phase.ABORTED;
    if (awaitsClient && clientReady && heldBytes > 0 && isClientTooSlow(now)) {
      endForSlowClient(now);
    }
  }

  private boolean isServerSilent(long now) {
    boolean overdue = phase == Phase.RELAYING && now - deadline > 0;
    return (overdue || phase == Phase.DISCARDING)
        && !relays.isPaused(this)
        && now - lastReceivedAt > relays.settings().maxSilenceNanos();
  }

  /**
   * Returns whether the client reads nothing for too long or, where the memory that it occupies is
   * wanted, too little.
   */
  private boolean isClientTooSlow(long now) {
    RelaySettings settings = relays.settings();
    if (now - deadline <= 0) {
      return false;
    }
    return now - lastDeliveredAt > settings.maxSilenceNanos()
        || (relays.isMemoryScarce() && now - paceWindowStart > settings.paceWindowNanos());
  }

  /** Ends the relay for a client that reads too slowly. */
  private void endForSlowClient(long now) {
    relays.recordSlowClient();
    actions.cutClient();
    endForClient(now);
  }

  void resume(long now) {
    // Data that the server wrote meanwhile is still in the socket: its silence is measured from
    // now.
    lastReceivedAt = now;
    actions.setReading(true);
  }

  private void restartPaceWindow(long now) {
    paceWindowStart = now;
    paceWindowBytes = 0;
  }

  private void endIfDelivered() {
    if (heldBytes > 0) {
      return;
    }
    if (phase == Phase.COMPLETE) {
      end(true);
    } else if (phase == Phase.ABORTED) {
      cutAndEnd();
    }
  }

  private void cutAndEnd() {
    actions.cutClient();
    end(false);
  }

  private void end(boolean complete) {
    boolean alreadyReported = phase == Phase.DISCARDING;
    phase = Phase.ENDED;
    releaseReservation();
    relays.ended(this, complete);
    if (!alreadyReported) {
      actions.ended(complete);
    }
  }

  private void releaseReservation() {
    relays.releaseReservation(this);
    hasReservation = false;
    heldUntilWhole = false;
  }
}
