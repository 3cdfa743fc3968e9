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
 * The cache servers that operators have taken out of use. Lays that over each list: a server taken
 * out is told as draining, so that the rule on drains holds for it; one that was put back as
 * started at that moment, since it was restarted meanwhile, and the list may tell so later or
 * never.
 *
 * <p>Servers are known by the number that the decision module uses. Not for more than one thread.
 */
public final class Detachments {
  /** How many may be taken out at a time: a list that is larger is no maintenance. */
  public static final int MOST = 4096;

  /** Ids remembered, those that have left the list too: some 80 bytes each of a small heap. */
  static final int REMEMBERED = 1 << 12;

  /** The list as it was last told, without what operators said. */
  private final Map<Long, ServerEntry> listed = new HashMap<>();

  /** When servers were put back, in the clock's seconds; the oldest are forgotten. */
  private final Map<Long, Double> attachedAt =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Double> eldest) {
          return size() > MOST;
        }
      };

  private final Set<Long> detached = new HashSet<>();

  /** All that were ever listed, oldest first, within bounds. */
  private final LinkedHashSet<Long> seen = new LinkedHashSet<>();

  /** Takes in news of the list; returns what the decision module is to be told of them. */
  public MembershipUpdate overlay(MembershipUpdate update) {
    boolean whole =
        update.kind() == MembershipUpdate.Kind.FULL
            || update.kind() == MembershipUpdate.Kind.CACHED;
    if (whole) {
      listed.clear();
    }
    List<ServerEntry> told = new ArrayList<>(update.entries().size());
    for (ServerEntry entry : update.entries()) {
      if (entry.state() == ServerEntry.State.GONE) {
        listed.remove(entry.id());
      } else {
        listed.put(entry.id(), entry);
        remember(entry.id());
      }
      told.add(overlaid(entry));
    }
    return new MembershipUpdate(update.kind(), update.version(), told);
  }

  private void remember(long server) {
    if (seen.add(server) && seen.size() > REMEMBERED) {
      seen.remove(seen.iterator().next());
    }
  }

  private ServerEntry overlaid(ServerEntry entry) {
    double started = Math.max(entry.startedAt(), attachedAt.getOrDefault(entry.id(), 0.0));
    ServerEntry.State state =
        entry.state() == ServerEntry.State.READY && detached.contains(entry.id())
            ? ServerEntry.State.DRAINING
            : entry.state();
    return new ServerEntry(
        entry.id(), entry.zone(), entry.kind(), entry.cell(), state, entry.weight(), started);
  }

  /** Whether a server of this number was ever listed, or is taken out. */
  public boolean knows(long server) {
    return seen.contains(server) || detached.contains(server);
  }

  /** Whether a server is taken out. */
  public boolean isDetached(long server) {
    return detached.contains(server);
  }

  /** Whether one more may be taken out. */
  public boolean hasRoom() {
    return detached.size() < MOST;
  }

  /** Those taken out, whether listed or not. */
  public Set<Long> detached() {
    return Set.copyOf(detached);
  }

  /** How many servers the list names. */
  public int listed() {
    return listed.size();
  }

  /** How many of the listed servers get nothing new, by what operators or the list say. */
  public int avoided() {
    int avoided = 0;
    for (ServerEntry entry : listed.values()) {
      boolean out = entry.state() != ServerEntry.State.READY || detached.contains(entry.id());
      avoided += out ? 1 : 0;
    }
    return avoided;
  }

  /**
   * A server is taken out of use until it is put back, whatever the list says.
   *
   * @return the line that the decision module is to be told, null if nothing changes for it
   * @throws IllegalStateException if {@link #MOST} are taken out already
   */
  public ServerEntry detach(long server) {
    if (!hasRoom() && !detached.contains(server)) {
      throw new IllegalStateException(MOST + " servers are taken out already");
    }
    return detached.add(server) ? line(server) : null;
  }

  /**
   * A server is put back into use. Putting back one that is in use changes nothing: a repeated call
   * must not make it cold once more.
   *
   * @param now the clock's seconds
   * @return the line that the decision module is to be told, null if nothing changes for it
   */
  public ServerEntry attach(double now, long server) {
    if (!detached.remove(server)) {
      return null;
    }
    attachedAt.put(server, now);
    return line(server);
  }

  private ServerEntry line(long server) {
    ServerEntry entry = listed.get(server);
    return entry == null ? null : overlaid(entry);
  }
}
