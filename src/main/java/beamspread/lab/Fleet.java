package beamspread.lab;

import beamspread.model.Settings;
import beamspread.pool.PoolSettings;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.stream.IntStream;

/**
 * What is emulated. Times in seconds.
 *
 * @param nodes how many nodes there are
 * @param zones how many rooms they and the boxes stand in, in turn
 * @param boxes the cache boxes
 * @param origin the central database
 * @param load what clients ask
 * @param network one way within a room, and between two
 * @param pool bounds of a node's connections to a box
 * @param spread how keys are spread over boxes
 * @param policy what decides for the nodes
 * @param faults what goes wrong when
 */
public record Fleet(
    int nodes,
    int zones,
    List<BoxKind> boxes,
    Origin origin,
    Load load,
    Network network,
    Pool pool,
    Settings.Spread spread,
    Policy policy,
    List<Fault> faults) {
  /** Requests that a node has open at most. */
  public static final int MOST_OPEN = 20_000;

  /** Nodes that a fleet may have. */
  static final int MOST_NODES = 4096;

  /**
   * Boxes of one kind.
   *
   * @param name its name
   * @param count how many there are
   * @param cores of each
   * @param speed how fast each core works; 1 does the load's work in its time
   * @param queue requests that may wait for a core
   * @param connections how many it takes, from all nodes together
   * @param handshake work for a new connection
   * @param keys how many keys it holds
   */
  public record BoxKind(
      String name,
      int count,
      int cores,
      double speed,
      int queue,
      int connections,
      double handshake,
      int keys) {}

  /**
   * The central database.
   *
   * @param cores how many requests it works on at a time
   * @param work for one fetch or write
   * @param queue requests that may wait
   */
  public record Origin(int cores, double work, int queue) {}

  /**
   * What clients ask, as a Poisson stream.
   *
   * @param rate requests a second, over all nodes
   * @param keys how many keys there are
   * @param skew exponent of Zipf's law, by which keys are asked for
   * @param writes the part of requests that write
   * @param work of a read from the cache, and of a write
   * @param distribution of the work around its mean
   * @param retries how often a client tries again what was refused or failed without effect
   * @param pause before it does
   * @param services the classes: the first for reads, the second for writes
   */
  public record Load(
      double rate,
      int keys,
      double skew,
      double writes,
      double work,
      Work distribution,
      int retries,
      double pause,
      List<Settings.ServiceClass> services) {
    /** Past a try's deadline, what the rule grants and the way to the client take. */
    public static final long GRACE_NANOS = 50_000_000L;

    /**
     * When a client tries again.
     *
     * @param tries that it has made
     * @param left nanoseconds until its deadline
     * @param retryAfter nanoseconds that it was told to wait
     * @return nanoseconds from now, negative if it does not
     */
    public long again(
        Settings.ServiceClass service, Answer answer, int tries, long left, long retryAfter) {
      long wait = Math.max((long) (pause * 1e9), retryAfter);
      boolean harmless =
          answer == Answer.REFUSED
              || (answer != Answer.SERVED && service.effect() == Settings.Effect.SAFE);
      return harmless && tries <= retries && left > wait + GRACE_NANOS ? wait : -1;
    }

    /** The class of a read or a write. */
    public Settings.ServiceClass service(boolean write) {
      return services.get(write ? services.size() - 1 : 0);
    }
  }

  /**
   * The network.
   *
   * @param near one way within a room
   * @param far one way between two
   * @param list how long the list of servers takes to tell of a change
   */
  public record Network(double near, double far, double list) {}

  /**
   * Bounds of a node's connections.
   *
   * @param connections to one box
   * @param spare kept ready
   * @param depth requests under way on one
   * @param freeEach free ones kept for each box; 0 for what a node keeps by itself
   */
  public record Pool(int connections, int spare, int depth, double freeEach) {}

  /** What decides for nodes. */
  public enum Policy {
    /** The real decision module. */
    OWN,

    /** Any server, whatever the key. */
    RANDOM,

    /** The nearest clockwise of the key, whatever its load. */
    RING,

    /** The nearest clockwise below the cap of the design. */
    BOUNDED_RING
  }

  /** What can go wrong. */
  public enum FaultKind {
    /** A box ends and comes back with an empty cache. */
    BOX_RESTARTS,

    /** A box is taken out by plan: it drains, ends, and comes back cold. */
    BOX_DRAINS,

    /** A box works at a part of its speed. */
    BOX_SLOW,

    /** The central database works at a part of its speed. */
    ORIGIN_SLOW,

    /** A node is killed, with all that it has taken, and comes back knowing nothing. */
    NODE_DIES
  }

  /**
   * Something that goes wrong.
   *
   * @param kind what
   * @param at when
   * @param lasts for how long
   * @param box the box's number, or the node's, where one is meant
   * @param part of the speed that is left
   */
  public record Fault(FaultKind kind, double at, double lasts, int number, double part) {}

  /** The bounds of a node's connections, in the model and as a process. */
  public PoolSettings poolSettings() {
    return new PoolSettings(
        pool.connections(),
        2,
        pool.connections(),
        pool.depth(),
        Math.max(64, boxCount() * pool.connections()),
        pool.connections(),
        64,
        pool.spare(),
        pool.freeEach() > 0 ? pool.freeEach() : PoolSettings.shareOfNode(nodes),
        30_000_000_000L,
        0,
        400_000_000L,
        (long) (settings(0).contract().warmWithin() * 1e9));
  }

  /**
   * The fleet itself.
   *
   * @throws IllegalArgumentException with all that makes no sense in it
   */
  public Fleet sound() {
    if (!faultsFound().isEmpty()) {
      throw new IllegalArgumentException(String.join("; ", faultsFound()));
    }
    return this;
  }

  /** The name of a room. */
  public static String zone(int number) {
    return "z" + number;
  }

  /** The name of a box in the list. */
  public static String boxName(int number) {
    return "box-" + number;
  }

  /** The number by which the decision module knows a box: as a node makes it from the name. */
  static long boxId(int number) {
    byte[] name = boxName(number).getBytes(StandardCharsets.UTF_8);
    return UUID.nameUUIDFromBytes(name).getMostSignificantBits();
  }

  /** What a node of this fleet is told, in the model and as a process. */
  public Settings settings(int node) {
    List<String> names = IntStream.range(0, zones).mapToObj(Fleet::zone).toList();
    return new Settings(
        names.get(node % zones),
        names,
        boxes.stream().map(BoxKind::name).toList(),
        node,
        nodes,
        false,
        Settings.Weights.NOMINAL,
        new Settings.CacheMode(false, null, 0, 0),
        new Settings.Limits(4, true, true, false, false, true, 2, 1, 60, pool.depth(), MOST_OPEN),
        new Settings.Contract(0.02, 10, 2, 0.1, 20, 3, 2),
        new Settings.Prices(0, 0, 0, 0, 0, 0, 0, 0, 0),
        load.services(),
        List.of(),
        1,
        0.005,
        spread);
  }

  /** How many boxes there are. */
  public int boxCount() {
    return boxes.stream().mapToInt(BoxKind::count).sum();
  }

  /** All that makes no sense here, in words for operators; empty if nothing is wrong. */
  List<String> faultsFound() {
    List<String> found = new ArrayList<>();
    check(
        found,
        nodes >= 1 && nodes <= MOST_NODES,
        "nodes must be 1 to " + MOST_NODES + ", is " + nodes);
    check(found, zones >= 1 && zones <= 16, "zones must be 1 to 16, is " + zones);
    check(found, boxCount() >= 1 && boxCount() <= 10_000, "there must be 1 to 10000 boxes");
    for (BoxKind kind : boxes) {
      String name = "box '" + kind.name() + "': ";
      check(found, kind.cores() >= 1, name + "cores must be at least 1, is " + kind.cores());
      check(found, kind.speed() > 0, name + "speed must be above 0, is " + kind.speed());
      check(found, kind.connections() >= 1, name + "connections must be at least 1");
      check(found, kind.queue() >= 0 && kind.handshake() >= 0, name + "must not be negative");
      check(found, kind.keys() >= 1, name + "keys must be at least 1, is " + kind.keys());
    }
    check(found, origin.cores() >= 1, "origin cores must be at least 1, is " + origin.cores());
    check(found, origin.work() >= 0 && origin.queue() >= 0, "origin must not be negative");
    check(found, load.rate() > 0 && load.rate() <= 1e6, "rate must be above 0, 1000000 at most");
    check(found, load.keys() >= 1 && load.keys() <= 10_000_000, "keys must be 1 to 10000000");
    check(found, load.skew() >= 0 && load.skew() <= 5, "skew must be 0 to 5, is " + load.skew());
    check(found, load.writes() >= 0 && load.writes() <= 1, "writes must be a part, 0 to 1");
    check(found, load.work() > 0, "work must be above 0, is " + load.work());
    check(found, load.retries() >= 0 && load.retries() <= 100, "retries must be 0 to 100");
    check(found, load.pause() >= 0, "pause must not be negative");
    check(found, spread.epsilon() >= 0, "epsilon must not be negative, is " + spread.epsilon());
    check(found, spread.tierFloor() >= 1, "floor must be at least 1, is " + spread.tierFloor());
    check(found, spread.points() >= 4, "points must be at least 4, is " + spread.points());
    check(
        found,
        network.near() >= 0 && network.far() >= 0 && network.list() >= 0,
        "network must not be negative");
    for (Fault fault : faults) {
      int most =
          switch (fault.kind()) {
            case ORIGIN_SLOW -> Integer.MAX_VALUE;
            case NODE_DIES -> nodes;
            case BOX_RESTARTS, BOX_DRAINS, BOX_SLOW -> boxCount();
          };
      String one = fault.kind() == FaultKind.NODE_DIES ? "node " : "box ";
      check(
          found,
          fault.number() >= 0 && fault.number() < most,
          "fault: there is no " + one + fault.number());
      check(found, fault.at() >= 0 && fault.lasts() >= 0, "fault: must not be negative");
      check(found, fault.part() > 0 && fault.part() <= 1, "fault: part must be above 0, 1 at most");
    }
    return found;
  }

  private static void check(List<String> found, boolean holds, String problem) {
    if (!holds) {
      found.add(problem);
    }
  }
}
