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
  private final RelaySettings settings;
  private final Set<Relay> openRelays = new LinkedHashSet<>();

  /** Relays whose reading is paused, longest paused first. */
  private final Set<Relay> paused = new LinkedHashSet<>();

  private long heldBytes;
  private long completedCount;
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

  RelaySettings settings() {
    return settings;
  }

  /** Adds received bytes to the held ones. */
  void heldBytes(int bytes) {
    heldBytes += bytes;
  }

  /**
   * Pauses the reading of a value if too much is held; returns whether it was not paused before.
   */
  boolean pauseIfFull(Relay relay) {
    boolean full =
        relay.heldBytes() >= settings.maxHeldPerValue() || heldBytes >= settings.maxHeldTotal();
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
    boolean room =
        heldBytes < settings.maxHeldTotal() && relay.heldBytes() <= settings.maxHeldPerValue() / 2;
    if ((room || relay.heldBytes() == 0) && paused.remove(relay)) {
      relay.resume(now);
    }
  }

  void recordAbortByServer() {
    abortedByServers++;
  }

  void recordSlowClient() {
    slowClients++;
  }

  void ended(Relay relay, boolean complete) {
    openRelays.remove(relay);
    paused.remove(relay);
    heldBytes -= relay.heldBytes();
    completedCount += complete ? 1 : 0;
  }
}
