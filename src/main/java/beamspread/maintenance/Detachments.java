package beamspread.maintenance;

import beamspread.model.MembershipUpdate;
import beamspread.model.ServerEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the cache servers that operators have detached, and overlays them on each list. A detached
 * server is listed as draining, so that the drain rules apply to it. One that was attached again is
 * listed as started at that moment: it was restarted meanwhile, and the list may report that later
 * or never.
 *
 * <p>Servers are identified by their number in the decision module. Not thread-safe.
 */
public final class Detachments {
  /** Most servers that may be detached at a time; more than this is not maintenance. */
  public static final int MAX_DETACHED = 4096;

  /**
   * Most ids remembered, including those that have left the list; each takes some 80 bytes of a
   * small heap.
   */
  static final int MAX_REMEMBERED_IDS = 1 << 12;

  /** The latest list, without the overlay. */
  private final Map<Long, ServerEntry> listed = new HashMap<>();

  /** When servers were attached, in seconds of the clock; the oldest are dropped. */
  private final Map<Long, Double> attachedAtSeconds =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Double> eldest) {
          return size() > MAX_DETACHED;
        }
      };

  private final Set<Long> detached = new HashSet<>();

  /** Ids that were ever listed, oldest first, up to the limit. */
  private final LinkedHashSet<Long> seen = new LinkedHashSet<>();

  /** Applies an update of the list and returns it with the overlay, for the decision module. */
  public MembershipUpdate overlay(MembershipUpdate update) {
    boolean replacesList =
        update.kind() == MembershipUpdate.Kind.FULL
            || update.kind() == MembershipUpdate.Kind.CACHED;
    if (replacesList) {
      listed.clear();
    }
    List<ServerEntry> overlaidEntries = new ArrayList<>(update.entries().size());
    for (ServerEntry entry : update.entries()) {
      if (entry.state() == ServerEntry.State.GONE) {
        listed.remove(entry.id());
      } else {
        listed.put(entry.id(), entry);
        remember(entry.id());
      }
      overlaidEntries.add(applyDetachment(entry));
    }
    return new MembershipUpdate(update.kind(), update.version(), overlaidEntries);
  }

  private void remember(long server) {
    if (seen.add(server) && seen.size() > MAX_REMEMBERED_IDS) {
      seen.remove(seen.iterator().next());
    }
  }

  private ServerEntry applyDetachment(ServerEntry entry) {
    double started = Math.max(entry.startedAt(), attachedAtSeconds.getOrDefault(entry.id(), 0.0));
    ServerEntry.State state =
        entry.state() == ServerEntry.State.READY && detached.contains(entry.id())
            ? ServerEntry.State.DRAINING
            : entry.state();
    return new ServerEntry(
        entry.id(), entry.zone(), entry.kind(), entry.cell(), state, entry.weight(), started);
  }

  /** Returns whether a server with this number was ever listed, or is detached. */
  public boolean knows(long server) {
    return seen.contains(server) || detached.contains(server);
  }

  /** Returns whether a server is detached. */
  public boolean isDetached(long server) {
    return detached.contains(server);
  }

  /** Returns whether one more server may be detached. */
  public boolean hasRoom() {
    return detached.size() < MAX_DETACHED;
  }

  /** Returns the detached servers, listed or not. */
  public Set<Long> detached() {
    return Set.copyOf(detached);
  }

  /** Returns how many servers the list contains. */
  public int listedCount() {
    return listed.size();
  }

  /** Returns how many listed servers get no new requests, because of the list or of an operator. */
  public int avoidedCount() {
    int avoided = 0;
    for (ServerEntry entry : listed.values()) {
      boolean isAvoided = entry.state() != ServerEntry.State.READY || detached.contains(entry.id());
      avoided += isAvoided ? 1 : 0;
    }
    return avoided;
  }

  /**
   * Detaches a server until it is attached again, whatever the list says.
   *
   * @return the changed entry for the decision module, null if nothing changes for it
   * @throws IllegalStateException if {@link #MAX_DETACHED} are detached already
   */
  public ServerEntry detach(long server) {
    if (!hasRoom() && !detached.contains(server)) {
      throw new IllegalStateException(MAX_DETACHED + " servers are detached already");
    }
    return detached.add(server) ? overlaidEntry(server) : null;
  }

  /**
   * Attaches a server again. Attaching one that is not detached changes nothing, so that a repeated
   * call does not make it cold once more.
   *
   * @param now seconds of the clock
   * @return the changed entry for the decision module, null if nothing changes for it
   */
  public ServerEntry attach(double now, long server) {
    if (!detached.remove(server)) {
      return null;
    }
    attachedAtSeconds.put(server, now);
    return overlaidEntry(server);
  }

  private ServerEntry overlaidEntry(long server) {
    ServerEntry entry = listed.get(server);
    return entry == null ? null : applyDetachment(entry);
  }
}
