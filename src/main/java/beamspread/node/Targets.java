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
 * The cache servers that this node knows: what the list says, and what operators say over it. Tells
 * the decision module and the pools, which hold no connection to a server that is taken out: an
 * attempt that waits for one could be written after the grace.
 */
final class Targets {
  private final ServerPools pools;
  private final Clock clock;
  private final Consumer<MembershipUpdate> module;
  private final Detachments detachments = new Detachments();
  private final Map<Long, MemberList.Member> listed = new HashMap<>();

  Targets(ServerPools pools, Clock clock, Consumer<MembershipUpdate> module) {
    this.pools = pools;
    this.clock = clock;
    this.module = module;
  }

  /** Takes in the list, or changes of it. */
  void list(MemberList list, MembershipUpdate.Kind kind) {
    Set<Long> gone = list.full() ? new HashSet<>(listed.keySet()) : new HashSet<>();
    List<ServerEntry> entries = new ArrayList<>(list.members().size());
    for (MemberList.Member member : list.members()) {
      long server = member.entry().id();
      if (member.entry().state() == ServerEntry.State.GONE) {
        gone.add(server);
        entries.add(member.entry());
      } else if (member.address() != null || listed.containsKey(server)) {
        gone.remove(server);
        // Where its address can't be read, it is still where it was.
        listed.merge(server, member, Targets::where);
        entries.add(member.entry());
      }
    }
    gone.forEach(listed::remove);
    MembershipUpdate told =
        detachments.overlay(new MembershipUpdate(kind, list.version(), entries));
    told.entries().forEach(this::connect);
    module.accept(told);
    // Once the module knows, so that what waited there is not sent there again.
    gone.forEach(pools::serverLeft);
    told.entries().forEach(this::disconnect);
  }

  private static MemberList.Member where(MemberList.Member before, MemberList.Member now) {
    return now.address() != null ? now : new MemberList.Member(now.entry(), before.address());
  }

  /** Gives the pools a server as the module sees it. */
  private void connect(ServerEntry entry) {
    if (entry.state() == ServerEntry.State.GONE || detachments.isDetached(entry.id())) {
      return;
    }
    long started =
        entry.startedAt() > 0
            ? System.nanoTime() - (long) (Math.max(0, clock.now() - entry.startedAt()) * 1e9)
            : Long.MIN_VALUE;
    pools.serverListed(entry.id(), listed.get(entry.id()).address(), started);
  }

  /** Takes back what waits for a connection to a server that gets nothing new. */
  private void disconnect(ServerEntry entry) {
    if (detachments.isDetached(entry.id())) {
      pools.serverLeft(entry.id());
    } else if (entry.state() == ServerEntry.State.DRAINING) {
      pools.serverDraining(entry.id());
    }
  }

  /** What is taken out and what the list names. */
  Detachments detachments() {
    return detachments;
  }

  /** How many servers the list names in each state. */
  Map<ServerEntry.State, Integer> states() {
    Map<ServerEntry.State, Integer> states = new HashMap<>();
    listed.values().forEach(member -> states.merge(member.entry().state(), 1, Integer::sum));
    return states;
  }

  /** Takes a server out of use. */
  void detach(long server) {
    byHand(detachments.detach(server));
  }

  /** Puts a server back into use. */
  void attach(long server) {
    byHand(detachments.attach(clock.now(), server));
  }

  private void byHand(ServerEntry line) {
    if (line != null) {
      connect(line);
      module.accept(new MembershipUpdate(MembershipUpdate.Kind.BY_HAND, 0, List.of(line)));
      disconnect(line);
    }
  }
}
