package beamspread.variants;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * Simulates owners, agents and nodes in virtual time, with clock drift, late and lost messages,
 * stalled and restarted processes, and values that begin to differ. Checks after each answer that
 * it was allowed.
 */
final class VariantSimulation {
  static final long SECOND = 1_000_000_000;
  static final VariantSettings SETTINGS =
      new VariantSettings("main", SECOND, 10 * SECOND, 4, SECOND / 4);

  private static final long RUN_NANOS = 12 * SECOND;
  private static final String FAMILY = "page/";
  private static final List<String> CLASSES = List.of("phone", "tablet", "desktop", "watch");
  private static final int OBJECTS = 2;
  private static final double MAX_CLOCK_DRIFT = 0.004;

  /** Defects that a simulation can inject. */
  enum InjectedDefect {
    /** An agent counts a table's validity from the arrival of the offer. */
    HOLD_FROM_ARRIVAL,
    /** A node counts a table's validity from the arrival of the answer. */
    NODE_HOLD_FROM_ARRIVAL,
    /** A damaged table is accepted. */
    DIGEST_NOT_CHECKED,
    /** The families that nodes have split are not reported to the owner. */
    SPLIT_NOT_REPORTED,
    /** The canonical key loses the object's name, so that keys of two objects become one. */
    OBJECT_NAME_LOST,
    /** All values compare as equal. */
    VALUES_NOT_COMPARED,
    /** A write does not split its family. */
    WRITE_WITHOUT_SPLIT,
    /** A restarted node continues with the table that it had. */
    TABLE_KEPT_ACROSS_RESTART,
    /** A table of an earlier owner is accepted. */
    OLDER_TOKEN_ACCEPTED
  }

  /** Rules whose violation is detected. */
  enum Violation {
    VERSION_WENT_BACK,
    EXPIRED_TABLE_USED,
    WRONG_OBJECT,
    WRONG_VALUE_FOR_TOO_LONG,
    WRITE_NOT_PROPAGATED,
    NO_AGREEMENT
  }

  final Set<Violation> violations = EnumSet.noneOf(Violation.class);
  long rewritten;
  long answers;
  private final Set<InjectedDefect> defects;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.at == other.at
                  ? Long.compare(one.order, other.order)
                  : Long.compare(one.at, other.at));
  private final VariantRules rules;
  private final List<Agent> agents = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final Map<VariantVersion, Long> lastClockReadByVersion = new HashMap<>();
  private final double faultsUntil = 0.6 * RUN_NANOS;
  private long now;
  private long nextEventOrder;
  private long lastToken;
  private Owner owner;

  /** The node through which a value was written. */
  private Node writer;

  /**
   * When the value of an object's variant began to differ, and whether by a write through a node.
   */
  private final Map<String, Long> differsSince = new HashMap<>();

  private final Map<String, Boolean> writtenThroughNode = new HashMap<>();

  private record Event(long at, long order, Runnable action) {}

  /** A process with a clock of its own. */
  private class Process {
    final double rate = 1 + MAX_CLOCK_DRIFT * (random.nextDouble() - 0.5);
    final long offset = random.nextLong(1_000_000 * SECOND);
    long stalledUntil;

    long clock() {
      return offset + (long) (now * rate);
    }
  }

  private final class Agent extends Process {
    final String name = "a" + agents.size();
    VariantTableRelay relay = new VariantTableRelay("main");
    int startNumber = 1;
    long highestToken;
  }

  private final class Node extends Process {
    final Agent agent;
    final String name;
    VariantKeys keys = new VariantKeys(SETTINGS, rules);
    VariantVersion highestSeen = VariantVersion.NONE;

    Node(String name, Agent agent) {
      this.name = name;
      this.agent = agent;
    }
  }

  private final class Owner extends Process {
    final VariantOwner variantOwner;
    final long token;

    Owner(long token) {
      this.token = token;
      variantOwner =
          new VariantOwner(
              SETTINGS,
              token,
              Map.of(FAMILY, List.of(Set.copyOf(CLASSES))),
              agents.stream().map(agent -> agent.name).collect(Collectors.toSet()),
              clock());
    }
  }

  VariantSimulation(long seed, int nodeCount, Set<InjectedDefect> defects) throws VariantException {
    this.defects = defects;
    random = new SplittableRandom(seed);
    rules = new VariantRules(List.of(VariantRulesTest.byField(FAMILY, 0)));
    for (int i = 0; i < Math.max(1, nodeCount / 20); i++) {
      agents.add(new Agent());
    }
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node("n" + i, agents.get(i % agents.size())));
    }
  }

  private void schedule(long time, Runnable action) {
    events.add(new Event(time, nextEventOrder++, action));
  }

  /**
   * Delivers a message to a process: the action runs after the network delay, once the process is
   * not stalled. The message may be lost.
   */
  private void deliver(Process process, Runnable action) {
    boolean faultsOver = now > faultsUntil;
    if (!faultsOver && random.nextInt(12) == 0) {
      return;
    }
    long delay =
        random.nextInt(50) == 0 && !faultsOver
            ? random.nextLong(4 * SECOND)
            : random.nextLong(SECOND / 100);
    schedule(now + delay, () -> runUnlessStalled(process, action));
  }

  private void runUnlessStalled(Process process, Runnable action) {
    if (process.stalledUntil > now) {
      schedule(process.stalledUntil, action);
    } else {
      action.run();
    }
  }

  void run() {
    startOwner();
    for (Node node : nodes) {
      schedule(random.nextLong(SETTINGS.pullIntervalNanos()), () -> pull(node));
    }
    long requestInterval = SECOND / Math.max(400, 4 * nodes.size());
    for (long time = 0; time < RUN_NANOS; time += requestInterval) {
      schedule(time, this::requestOnce);
    }
    for (int i = 0; i < 8; i++) {
      schedule((long) (random.nextDouble() * faultsUntil), this::injectFault);
    }
    schedule((long) (random.nextDouble() * 0.5 * RUN_NANOS), this::changeOneVariant);
    while (!events.isEmpty() && events.peek().at <= RUN_NANOS) {
      Event next = events.poll();
      now = next.at;
      next.action.run();
    }
    checkConvergence();
  }

  private void startOwner() {
    owner = new Owner(++lastToken);
    Owner started = owner;
    schedule(now, () -> offerToAgents(started));
  }

  private void injectFault() {
    long until = now + SECOND / 5 + random.nextLong(3 * SECOND);
    switch (random.nextInt(5)) {
      case 0 -> owner.stalledUntil = until;
      case 1 -> {
        // Another owner gets the lease; the previous one may still offer what it has decided.
        owner.stalledUntil = until;
        startOwner();
      }
      case 2 -> {
        Node node = nodes.get(random.nextInt(nodes.size()));
        node.stalledUntil = until;
        markWriteAsLost(node);
      }
      case 3 -> {
        Agent agent = agents.get(random.nextInt(agents.size()));
        agent.relay = new VariantTableRelay("main");
        agent.startNumber++;
      }
      default -> {
        Node node = nodes.get(random.nextInt(nodes.size()));
        markWriteAsLost(node);
        VariantTable kept = node.keys.held().inForce(node.clock());
        node.keys = new VariantKeys(SETTINGS, rules);
        node.highestSeen = VariantVersion.NONE;
        if (kept != null && defects.contains(InjectedDefect.TABLE_KEPT_ACROSS_RESTART)) {
          offerToNode(node, kept, node.clock() + 2 * SETTINGS.holdNanos());
        }
      }
    }
  }

  /**
   * Marks a write as not reported: a write whose node ends before it has reported the split is only
   * found by comparison.
   */
  private void markWriteAsLost(Node node) {
    if (node == writer) {
      writtenThroughNode.replaceAll((key, through) -> false);
    }
  }

  /** Changes the value of one variant of an object, either through a node or elsewhere. */
  private void changeOneVariant() {
    String key = FAMILY + CLASSES.get(1 + random.nextInt(3)) + "/" + random.nextInt(OBJECTS);
    boolean throughNode = random.nextBoolean();
    differsSince.put(key, now);
    writtenThroughNode.put(key, throughNode);
    if (throughNode && !defects.contains(InjectedDefect.WRITE_WITHOUT_SPLIT)) {
      writer = nodes.stream().filter(node -> node.stalledUntil <= now).findAny().orElseThrow();
      writer.keys.recordWrite(writer.clock(), key);
    }
  }

  private void offerToAgents(Owner from) {
    if (from != owner && from.stalledUntil < now - SETTINGS.holdNanos()) {
      // The owner knows by now that its lease is lost.
      return;
    }
    schedule(
        now + SETTINGS.pullIntervalNanos(),
        () -> runUnlessStalled(from, () -> offerToAgents(from)));
    for (Agent agent : agents) {
      deliver(agent, () -> readAgent(from, agent));
    }
  }

  private void readAgent(Owner from, Agent agent) {
    long clock = agent.clock();
    long readAt = now;
    int start = agent.startNumber;
    Set<String> split = agent.relay.splitFamilies(agent.clock(), 60 * SECOND);
    VariantTable held = agent.relay.held().inForce(clock);
    deliver(
        from,
        () -> {
          if (!defects.contains(InjectedDefect.SPLIT_NOT_REPORTED)) {
            from.variantOwner.recordSplitFamilies(from.clock(), agent.name, split);
          } else {
            from.variantOwner.recordSplitFamilies(from.clock(), agent.name, Set.of());
          }
          VariantTable table = from.variantOwner.currentTable(from.clock());
          lastClockReadByVersion.merge(table.version(), readAt, Math::max);
          boolean known = held != null && held.digest().equals(table.digest());
          deliver(agent, () -> offer(agent, table, known, clock, start));
        });
  }

  private void offer(Agent agent, VariantTable table, boolean known, long clock, int start) {
    boolean older = table.version().token() < agent.highestToken;
    if (older && !defects.contains(InjectedDefect.OLDER_TOKEN_ACCEPTED)
        || start != agent.startNumber) {
      return;
    }
    if (older) {
      agent.relay = new VariantTableRelay("main");
    }
    agent.highestToken = Math.max(agent.highestToken, table.version().token());
    long readAt = defects.contains(InjectedDefect.HOLD_FROM_ARRIVAL) ? agent.clock() : clock;
    if (known && agent.relay.held().inForce(agent.clock()) != null) {
      agent.relay.renew(agent.clock(), table.version(), readAt, SETTINGS.holdNanos());
    } else if (!known) {
      agent.relay.offer(agent.clock(), table, readAt, SETTINGS.holdNanos());
    }
  }

  private void pull(Node node) {
    schedule(now + SETTINGS.pullIntervalNanos(), () -> runUnlessStalled(node, () -> pull(node)));
    long askedAt = node.clock();
    Set<String> split = node.keys.split(askedAt);
    VariantVersion known = node.keys.held().highestVersion();
    deliver(
        node.agent,
        () -> {
          VariantTableRelay relay = node.agent.relay;
          relay.recordNodeReport(node.agent.clock(), node.name, known, split);
          VariantTable table = relay.held().inForce(node.agent.clock());
          long remaining = relay.held().remainingNanos(node.agent.clock());
          if (table != null) {
            deliver(node, () -> receive(node, table, askedAt, remaining));
          }
        });
  }

  private void receive(Node node, VariantTable table, long askedAt, long remaining) {
    long from = defects.contains(InjectedDefect.NODE_HOLD_FROM_ARRIVAL) ? node.clock() : askedAt;
    if (random.nextInt(40) == 0) {
      receiveDamaged(node, table, from + remaining);
      return;
    }
    offerToNode(node, table, from + remaining - remaining / 100);
  }

  /** Delivers a table that was damaged on the way. */
  private void receiveDamaged(Node node, VariantTable table, long until) {
    String text = table.text().replace("fleet main", "fleet maiN");
    String digest = table.digest();
    if (defects.contains(InjectedDefect.DIGEST_NOT_CHECKED)) {
      VariantVersion later =
          new VariantVersion(table.version().token(), table.version().number() + 1);
      offerToNode(
          node,
          VariantTable.of("main", later, Map.of(FAMILY, List.of(Set.copyOf(CLASSES)))),
          until);
      return;
    }
    try {
      VariantTable.parse(text, digest);
      throw new IllegalStateException("a damaged table was read");
    } catch (VariantException e) {
      // Expected: the digest does not match.
    }
  }

  private void offerToNode(Node node, VariantTable table, long until) {
    try {
      if (defects.contains(InjectedDefect.OLDER_TOKEN_ACCEPTED)
          && table.version().compareTo(node.keys.held().highestVersion()) < 0) {
        node.keys = new VariantKeys(SETTINGS, rules);
      }
      node.keys.offer(node.clock(), table, until);
    } catch (VariantException e) {
      throw new IllegalStateException(e);
    }
    if (node.keys.held().highestVersion().compareTo(node.highestSeen) < 0) {
      violations.add(Violation.VERSION_WENT_BACK);
    }
    node.highestSeen = node.keys.held().highestVersion();
  }

  /** Sends one read through a random node, which is answered at once. */
  private void requestOnce() {
    Node node = nodes.get(random.nextInt(nodes.size()));
    if (node.stalledUntil > now) {
      return;
    }
    String key = FAMILY + CLASSES.get(random.nextInt(4)) + "/" + random.nextInt(OBJECTS);
    VariantKeys.Rewrite rewrite = node.keys.rewrite(node.clock(), key, "read");
    String requestedKey = rewrite == null ? key : rewrite.key();
    if (defects.contains(InjectedDefect.OBJECT_NAME_LOST) && !requestedKey.equals(key)) {
      requestedKey = requestedKey.substring(0, requestedKey.lastIndexOf('/')) + "/0";
    }
    answers++;
    if (rewrite != null && rewrite.compared()) {
      // Without its split, a write would later be found by comparison.
      boolean comparisonDisabled =
          defects.contains(InjectedDefect.VALUES_NOT_COMPARED)
              || defects.contains(InjectedDefect.WRITE_WITHOUT_SPLIT);
      String value = comparisonDisabled ? "length" : value(requestedKey);
      node.keys.recordValue(node.clock(), rewrite, hash(value));
    }
    if (!requestedKey.equals(key)) {
      rewritten++;
      checkRewrite(node, key, requestedKey);
    }
  }

  private void checkRewrite(Node node, String key, String requestedKey) {
    if (!key.substring(key.lastIndexOf('/'))
        .equals(requestedKey.substring(requestedKey.lastIndexOf('/')))) {
      violations.add(Violation.WRONG_OBJECT);
    }
    Long readAt = lastClockReadByVersion.get(node.keys.held().highestVersion());
    // The clocks' drift extends the validity by its share of the hold time.
    if (readAt == null || now > readAt + SETTINGS.holdNanos() * (1 + MAX_CLOCK_DRIFT)) {
      violations.add(Violation.EXPIRED_TABLE_USED);
    }
    Long since = differsSince.get(key);
    if (since == null || value(requestedKey).equals(value(key))) {
      return;
    }
    boolean throughNode = writtenThroughNode.get(key);
    long detectionNanos = throughNode ? 0 : 6 * SETTINGS.slots() * SETTINGS.slotNanos();
    if (now > since + detectionNanos + SETTINGS.maxSplitDelayNanos() + messageLossAllowance()) {
      violations.add(
          throughNode ? Violation.WRITE_NOT_PROPAGATED : Violation.WRONG_VALUE_FOR_TOO_LONG);
    }
  }

  /** Returns the extra time allowed for lost messages, which are repeated with the next call. */
  private static long messageLossAllowance() {
    return 12 * SETTINGS.pullIntervalNanos();
  }

  private String value(String key) {
    String object = key.substring(key.lastIndexOf('/'));
    return differsSince.containsKey(key) ? key : object;
  }

  private static ValueHash hash(String value) {
    return new ValueHash(value.hashCode(), value.length());
  }

  /** Checks that after the faults all nodes hold the newest table of the last owner. */
  private void checkConvergence() {
    VariantVersion newest = owner.variantOwner.currentTable(owner.clock()).version();
    for (Node node : nodes) {
      if (!node.keys.held().highestVersion().equals(newest)) {
        violations.add(Violation.NO_AGREEMENT);
      }
    }
  }
}
