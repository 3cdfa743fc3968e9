package beamspread.relay;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * All values that one node is relaying, and the memory that they share. Not thread-safe. Times are
 * nanoseconds of one monotonic clock; with a clock that stops while the node is paused, a pause of
 * the node is not counted against its peers.
 */
public final class Relays {
  /** Values whose turn has not come may take this part of the memory for values, and of theirs. */
  private static final int PART_BEFORE_TURN = 4;

  private final RelaySettings settings;
  private final Set<Relay> openRelays = new LinkedHashSet<>();

  /** Relays whose reading is paused, longest paused first. */
  private final Set<Relay> paused = new LinkedHashSet<>();

  /** Relays for whose whole values room is reserved. */
  private final Set<Relay> reserved = new LinkedHashSet<>();

  private long heldBytes;

  private long completedCount;
  private long refusedUnfinished;
  private long abortedByServers;
  private long slowClients;

  /**
   * @throws IllegalArgumentException if the settings are invalid
   */
  public Relays(RelaySettings settings) {
    if (!settings.validationErrors().isEmpty()) {
      throw new IllegalArgumentException(String.join("; ", settings.validationErrors()));
    }
    this.settings = settings;
  }

  /**
   * Starts to relay a value whose head was received.
   *
   * @param length length of the value in bytes
   * @param deadline until when the client waits in any case
   */
  public Relay begin(long now, long length, long deadline, RelayActions actions) {
    Relay relay = new Relay(this, actions, now, length, deadline);
    openRelays.add(relay);
    return relay;
  }

  /** Ends relays that exceed a time limit, and resumes paused ones. */
  public void tick(long now) {
    for (Relay relay : List.copyOf(openRelays)) {
      relay.tick(now);
    }
    resumePaused(now);
  }

  /** Returns the number of values being relayed. */
  public int openCount() {
    return openRelays.size();
  }

  /** Returns the bytes received and not yet read by a client. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns how many values clients have read in full. */
  public long completedCount() {
    return completedCount;
  }

  /** Returns how many values a cache server did not finish. */
  public long abortedByServers() {
    return abortedByServers;
  }

  /** Returns how many values were ended because their client read too slowly. */
  public long slowClients() {
    return slowClients;
  }

  /**
   * Returns how many values were refused before their first byte, because they did not become whole
   * while answers behind them could wait.
   */
  public long refusedUnfinished() {
    return refusedUnfinished;
  }

  RelaySettings settings() {
    return settings;
  }

  /** Reserves room for a whole value of this size; returns whether it was there. */
  boolean reserveWhole(Relay relay, long length) {
    long committed = openRelays.stream().mapToLong(Relay::committedBytes).sum();
    return committed + length <= settings.maxHeldTotal() && reserved.add(relay);
  }

  void releaseReservation(Relay relay) {
    reserved.remove(relay);
  }

  /** Returns the bytes that are held, and those that are yet to come for which room is reserved. */
  private long usedBytes() {
    long toCome = 0;
    for (Relay relay : reserved) {
      toCome += relay.remainingBytes();
    }
    return heldBytes + toCome;
  }

  /** Adds received bytes to the held ones. */
  void heldBytes(int bytes) {
    heldBytes += bytes;
  }

  /**
   * Pauses the reading of a value if too much is held; returns whether it was not paused before.
   */
  boolean pauseIfFull(Relay relay) {
    int part = relay.isClientReady() ? 1 : PART_BEFORE_TURN;
    boolean full =
        relay.heldBytes() >= settings.maxHeldPerValue() / part
            || usedBytes() >= settings.maxHeldTotal() / part;
    return full && paused.add(relay);
  }

  /** Returns whether too little memory is left for one more value. */
  boolean isMemoryScarce() {
    return heldBytes + settings.maxHeldPerValue() > settings.maxHeldTotal();
  }

  boolean isPaused(Relay relay) {
    return paused.contains(relay);
  }

  /** Removes a value from the paused ones; returns whether it was paused. */
  boolean unpause(Relay relay) {
    return paused.remove(relay);
  }

  /** Releases bytes held by a value, and resumes it or others that waited for the memory. */
  void released(long now, Relay relay, int bytes) {
    boolean wasFull = heldBytes >= settings.maxHeldTotal();
    heldBytes -= bytes;
    resumeIfRoom(now, relay);
    if (wasFull && heldBytes < settings.maxHeldTotal()) {
      resumePaused(now);
    }
  }

  /** Resumes paused relays, longest paused first. */
  private void resumePaused(long now) {
    for (Relay relay : List.copyOf(paused)) {
      resumeIfRoom(now, relay);
    }
  }

  private void resumeIfRoom(long now, Relay relay) {
    // A value of which nothing is held is read in any case, so that each makes progress.
    int part = relay.isClientReady() ? 1 : PART_BEFORE_TURN;
    boolean room =
        usedBytes() < settings.maxHeldTotal() / part
            && relay.heldBytes() <= settings.maxHeldPerValue() / part / 2;
    if ((room || relay.heldBytes() == 0) && paused.remove(relay)) {
      relay.resume(now);
    }
  }

  void recordAbortByServer() {
    abortedByServers++;
  }

  void recordRefusedUnfinished() {
    refusedUnfinished++;
  }

  void recordSlowClient() {
    slowClients++;
  }

  void ended(Relay relay, boolean complete) {
    openRelays.remove(relay);
    paused.remove(relay);
    reserved.remove(relay);
    heldBytes -= relay.heldBytes();
    completedCount += complete ? 1 : 0;
  }
}
