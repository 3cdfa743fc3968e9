package beamspread.node;

import beamspread.maintenance.Detachments;
import beamspread.model.MembershipUpdate;
import beamspread.model.ServerEntry;
import beamspread.node.discovery.MemberList;
import beamspread.node.server.ServerPools;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The cache servers that this node knows: the list of discovery, overlaid with the detachments of
 * operators. Informs the decision module and the pools. The pools hold no connection to a detached
 * server: an attempt that waits for one could be written after the drain grace.
 */
final class Targets {
  private final ServerPools pools;
  private final Clock clock;
  private final Consumer<MembershipUpdate> updateListener;
  private final Detachments detachments = new Detachments();
  private final Map<Long, MemberList.Member> listed = new HashMap<>();

  Targets(ServerPools pools, Clock clock, Consumer<MembershipUpdate> updateListener) {
    this.pools = pools;
    this.clock = clock;
    this.updateListener = updateListener;
  }

  /** Applies the list, or changes of it. */
  void applyList(MemberList list, MembershipUpdate.Kind kind) {
    Set<Long> removed = list.full() ? new HashSet<>(listed.keySet()) : new HashSet<>();
    List<ServerEntry> entries = new ArrayList<>(list.members().size());
    for (MemberList.Member member : list.members()) {
      long server = member.entry().id();
      if (member.entry().state() == ServerEntry.State.GONE) {
        removed.add(server);
        entries.add(member.entry());
      } else if (member.address() != null || listed.containsKey(server)) {
        removed.remove(server);
        // If its address can't be read, the previous one stays in use.
        listed.merge(server, member, Targets::withKnownAddress);
        entries.add(member.entry());
      }
    }
    removed.forEach(listed::remove);
    MembershipUpdate update =
        detachments.overlay(new MembershipUpdate(kind, list.version(), entries));
    update.entries().forEach(this::addToPools);
    updateListener.accept(update);
    // After the module is informed, so that withdrawn attempts are not sent there again.
    removed.forEach(pools::serverLeft);
    update.entries().forEach(this::withdrawFromPools);
  }

  private static MemberList.Member withKnownAddress(
      MemberList.Member previous, MemberList.Member current) {
    return current.address() != null
        ? current
        : new MemberList.Member(current.entry(), previous.address());
  }

  /** Passes a server to the pools in the state that the module sees. */
  private void addToPools(ServerEntry entry) {
    if (entry.state() == ServerEntry.State.GONE || detachments.isDetached(entry.id())) {
      return;
    }
    long started =
        entry.startedAt() > 0
            ? System.nanoTime() - (long) (Math.max(0, clock.now() - entry.startedAt()) * 1e9)
            : Long.MIN_VALUE;
    pools.serverListed(entry.id(), listed.get(entry.id()).address(), started);
  }

  /** Withdraws attempts that wait for a connection to a server that accepts no new requests. */
  private void withdrawFromPools(ServerEntry entry) {
    if (detachments.isDetached(entry.id())) {
      pools.serverLeft(entry.id());
    } else if (entry.state() == ServerEntry.State.DRAINING) {
      pools.serverDraining(entry.id());
    }
  }

  /** Returns the detached and the listed servers. */
  Detachments detachments() {
    return detachments;
  }

  /** Returns how many servers the list names in each state. */
  Map<ServerEntry.State, Integer> countsByState() {
    Map<ServerEntry.State, Integer> counts = new HashMap<>();
    listed.values().forEach(member -> counts.merge(member.entry().state(), 1, Integer::sum));
    return counts;
  }

  /** Takes a server out of use. */
  void detach(long server) {
    applyOperatorChange(detachments.detach(server));
  }

  /** Puts a server back into use. */
  void attach(long server) {
    applyOperatorChange(detachments.attach(clock.now(), server));
  }

  private void applyOperatorChange(ServerEntry entry) {
    if (entry != null) {
      addToPools(entry);
      updateListener.accept(
          new MembershipUpdate(MembershipUpdate.Kind.OPERATOR, 0, List.of(entry)));
      withdrawFromPools(entry);
    }
  }
}
