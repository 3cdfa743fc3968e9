package beamspread.lab;

import beamspread.model.Hashes;
import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Request;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import beamspread.policy.Actions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The plain ways to pick a server, each with the same plain way to try again: what shows that it
 * did not run, or may run twice, goes to another server, three times at most; nothing is learnt
 * from answers, and nothing is turned away before it is sent.
 */
final class PlainDecider implements Decider {
  private static final int MOST_TRIES = 3;

  private static final class Open {
    final Request request;
    final Set<Long> tried = new HashSet<>(2);

    Open(Request request) {
      this.request = request;
    }
  }

  private final Fleet.Policy policy;
  private final Settings settings;
  private final Actions actions;
  private final SplittableRandom random;
  private final TreeMap<Long, ServerEntry> ring = new TreeMap<>();
  private final Map<Long, ServerEntry> servers = new HashMap<>();
  private final List<ServerEntry> list = new ArrayList<>();
  private final Map<Long, Integer> inFlight = new HashMap<>();
  private final Map<String, Open> open = new HashMap<>();
  private final Map<String, Settings.Effect> effects = new HashMap<>();
  private double totalWeight;
  private int allInFlight;

  PlainDecider(Fleet.Policy policy, Settings settings, long seed, Actions actions) {
    this.policy = policy;
    this.settings = settings;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    settings.services().forEach(service -> effects.put(service.name(), service.effect()));
  }

  @Override
  public void membership(double now, MembershipUpdate update) {
    if (update.kind() == MembershipUpdate.Kind.FULL) {
      servers.clear();
    }
    for (ServerEntry entry : update.entries()) {
      if (entry.state() == ServerEntry.State.READY) {
        servers.put(entry.id(), entry);
      } else {
        servers.remove(entry.id());
      }
    }
    list.clear();
    list.addAll(servers.values());
    ring.clear();
    totalWeight = 0;
    double greatest = list.stream().mapToDouble(ServerEntry::weight).max().orElse(1);
    for (ServerEntry server : list) {
      totalWeight += server.weight();
      long points = Math.round(settings.spread().points() * server.weight() / greatest);
      for (int p = 0; p < Math.max(4, points); p++) {
        ring.put(Hashes.mix(Hashes.mix(server.id()) + p), server);
      }
    }
  }

  @Override
  public void request(double now, Request request) {
    Open one = new Open(request);
    open.put(request.id(), one);
    send(one);
  }

  private void send(Open one) {
    ServerEntry server = pick(one);
    if (server == null) {
      open.remove(one.request.id());
      actions.fail(one.request.id());
      return;
    }
    one.tried.add(server.id());
    inFlight.merge(server.id(), 1, Integer::sum);
    allInFlight++;
    actions.send(one.request.id(), server.id(), 0);
  }

  private ServerEntry pick(Open one) {
    if (policy == Fleet.Policy.RANDOM) {
      List<ServerEntry> left =
          list.stream().filter(server -> !one.tried.contains(server.id())).toList();
      return left.isEmpty() ? null : left.get(random.nextInt(left.size()));
    }
    ServerEntry first = null;
    Set<Long> seen = new HashSet<>();
    long hash = Hashes.of(one.request.key());
    for (Map<Long, ServerEntry> part : List.of(ring.tailMap(hash, true), ring.headMap(hash))) {
      for (ServerEntry server : part.values()) {
        if (one.tried.contains(server.id()) || !seen.add(server.id())) {
          continue;
        }
        first = first == null ? server : first;
        if (policy == Fleet.Policy.RING || inFlight.getOrDefault(server.id(), 0) < cap(server)) {
          return server;
        }
        if (seen.size() + one.tried.size() == servers.size()) {
          return first;
        }
      }
    }
    return first;
  }

  /** The same cap as the design's, so that only the way past a full server differs. */
  private int cap(ServerEntry server) {
    double mean = (allInFlight + 1) * server.weight() / totalWeight;
    return (int)
        Math.max(settings.capFloorPart(), Math.ceil((1 + settings.spread().epsilon()) * mean));
  }

  @Override
  public void outcome(double now, Outcome outcome) {
    inFlight.merge(outcome.server(), -1, Integer::sum);
    allInFlight--;
    Open one = open.get(outcome.requestId());
    if (one == null) {
      return;
    }
    boolean answered = outcome.requestEnded() || outcome.result() == Outcome.Result.OK;
    boolean harmless =
        outcome.result().provesNotRun()
            || effects.get(one.request.serviceClass()) == Settings.Effect.SAFE;
    if (answered) {
      open.remove(outcome.requestId());
    } else if (harmless
        && one.tried.size() < MOST_TRIES
        && outcome.result() != Outcome.Result.TIMEOUT) {
      send(one);
    } else {
      open.remove(outcome.requestId());
      if (outcome.result() == Outcome.Result.FULL) {
        actions.refuse(outcome.requestId(), 0);
      } else {
        actions.fail(outcome.requestId());
      }
    }
  }

  @Override
  public void timer(double now, long token) {
    // It has asked for none.
  }
}
