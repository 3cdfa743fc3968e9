package beamspread.tier;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The links to the other members, created on first use. */
final class LinkTable {
  private final TierSettings settings;
  private final Map<Integer, Link> linksByMember = new HashMap<>();

  LinkTable(TierSettings settings) {
    this.settings = settings;
  }

  /** Returns the link to a member; creates it if there is none. */
  Link getOrCreate(int number) {
    return linksByMember.computeIfAbsent(number, key -> new Link());
  }

  /** Returns the link to a member; null if there is none. */
  Link find(int number) {
    return linksByMember.get(number);
  }

  /** Returns whether an observed member has been silent for longer than allowed. */
  boolean isSilent(long now, int number) {
    Link link = linksByMember.get(number);
    return link != null && link.silenceNanos(now) > link.allowedSilenceNanos(settings);
  }

  /** Returns whether a member has recently reported that it receives this process's datagrams. */
  boolean isHeardBy(long now, int number) {
    Link link = getOrCreate(number);
    return link.lastEchoedAt() != Link.NEVER
        && now - link.lastEchoedAt() <= link.allowedSilenceNanos(settings);
  }

  /** Restarts the measurement of silence on all links after a stall of this process. */
  void recordStall(long now) {
    linksByMember.values().forEach(link -> link.recordStall(now));
  }

  /** Passes each link, with the number of its member, to the action. */
  void forEach(Consumer<Map.Entry<Integer, Link>> action) {
    linksByMember.entrySet().forEach(action);
  }

  void remove(int number) {
    linksByMember.remove(number);
  }
}
