package beamspread.model;

import java.util.List;

/**
 * The settings with which an instance starts.
 *
 * @param zone the instance's own zone
 * @param zones all zones
 * @param kinds the machine kinds
 * @param instanceNumber the instance's number
 * @param instances number of instances in the tier
 * @param callsForList whether the instance must call for the list; otherwise it is pushed
 * @param weights what the weights in the list mean
 * @param cache how caches and origin work together
 * @param limits the limits and permissions of the deployment
 * @param contract the figures of the four rules
 * @param prices deductions from the result
 * @param services the request classes
 * @param tenants the tenants; empty if there are none
 * @param overShareWorth worth of a request above its tenant's share, as a part of its class's worth
 * @param tickSeconds the shortest time between two batches of events, in seconds
 * @param spread how keys are distributed over servers
 */
public record Settings(
    String zone,
    List<String> zones,
    List<String> kinds,
    int instanceNumber,
    int instances,
    boolean callsForList,
    Weights weights,
    CacheMode cache,
    Limits limits,
    Contract contract,
    Prices prices,
    List<ServiceClass> services,
    List<Tenant> tenants,
    double overShareWorth,
    double tickSeconds,
    Spread spread) {

  /** Returns this instance's part of the floor of the cap, rounded up. */
  public int capFloorPart() {
    return (spread.tierFloor() + instances - 1) / instances;
  }

  /** Returns a copy with other limits. */
  public Settings withLimits(Limits newLimits) {
    return new Settings(
        zone,
        zones,
        kinds,
        instanceNumber,
        instances,
        callsForList,
        weights,
        cache,
        newLimits,
        contract,
        prices,
        services,
        tenants,
        overShareWorth,
        tickSeconds,
        spread);
  }

  /**
   * How keys are distributed over servers. All instances of a tier must agree.
   *
   * @param epsilon ε of the paper: how far a server's requests in flight may exceed the mean
   * @param tierFloor the floor of the cap, over all instances together
   * @param points number of points of a server of unit weight on the ring
   */
  public record Spread(double epsilon, int tierFloor, int points) {
    /**
     * The default. The floor is a few requests per core of a usual machine, so that chance alone
     * sends no key to a cache that lacks it; with 128 points the servers' shares of keys differ by
     * about 1/sqrt(128).
     */
    public static final Spread DEFAULT = new Spread(0.5, 12, 128);
  }

  /** What the weights in the list mean. */
  public enum Weights {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE;

    /** Returns whether the weights are fixed capacities, not current load. */
    public boolean areFixed() {
      return this == NOMINAL || this == ROUGH;
    }
  }

  /** The effect of repeating a request. */
  public enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** The group of servers that together drop the repeats of a keyed request. */
  public enum Group {
    ALL,
    ZONE,
    CELL;

    /** Returns whether two servers belong to one group. */
    public boolean includesBoth(ServerEntry first, ServerEntry second) {
      return switch (this) {
        case ALL -> true;
        case ZONE -> first.zone().equals(second.zone());
        case CELL -> first.cell() == second.cell() && first.zone().equals(second.zone());
      };
    }
  }

  /**
   * How caches and origin work together.
   *
   * @param aside whether the instance itself fetches misses from the origin (cache-aside)
   * @param originKind the machine kind of the origin in the list; null if it is not listed
   * @param originFailureMultiple the multiple of its capacity at which the origin fails; 0 for none
   * @param originFailureSeconds how long that load must last
   */
  public record CacheMode(
      boolean aside,
      String originKind,
      double originFailureMultiple,
      double originFailureSeconds) {}

  /**
   * Limits and permissions of the deployment.
   *
   * @param maxAttempts maximum attempts for a request
   * @param parallelAttempts whether several attempts of a request may be in flight
   * @param mayCancel whether attempts may be cancelled
   * @param mayProbe whether servers may be probed
   * @param mayMessagePeers whether instances may send each other messages
   * @param advisesRetryAfter whether a refusal gives a time after which to retry
   * @param maxRetryAfter longest such time that clients respect, in seconds
   * @param connectTimeout seconds after which a connection attempt fails
   * @param idleTimeout seconds after which an idle connection is closed
   * @param attemptsPerConnection multiplexing depth: attempts that share a connection
   * @param maxOpen maximum open requests
   */
  public record Limits(
      int maxAttempts,
      boolean parallelAttempts,
      boolean mayCancel,
      boolean mayProbe,
      boolean mayMessagePeers,
      boolean advisesRetryAfter,
      double maxRetryAfter,
      double connectTimeout,
      double idleTimeout,
      int attemptsPerConnection,
      int maxOpen) {

    /** Returns a copy that limits open requests to this number, if it is lower. */
    public Limits withMaxOpen(int newMaxOpen) {
      return new Limits(
          maxAttempts,
          parallelAttempts,
          mayCancel,
          mayProbe,
          mayMessagePeers,
          advisesRetryAfter,
          maxRetryAfter,
          connectTimeout,
          idleTimeout,
          attemptsPerConnection,
          Math.min(newMaxOpen, maxOpen));
    }
  }

  /**
   * Parameters of the four rules; times are in seconds.
   *
   * @param answerGrace how long after the client's deadline a final answer still counts
   * @param callWithin longest time between calls for the list without a subscription
   * @param drainGrace how long requests may still be sent to a draining server
   * @param coldFrom the part of its capacity that a server has right after its start
   * @param warmWithin time after which it is warm
   * @param overloadFactor the multiple of its capacity at which a cold server fails
   * @param overloadFor how long that load must last
   */
  public record Contract(
      double answerGrace,
      double callWithin,
      double drainGrace,
      double coldFrom,
      double warmWithin,
      double overloadFactor,
      double overloadFor) {

    /**
     * Returns the part of its capacity that a server has this many seconds after its start; 1 once
     * it is warm.
     */
    public double warmth(double age) {
      if (!(age < warmWithin)) {
        return 1;
      }
      double from = Math.max(0.01, Math.min(1, coldFrom));
      return from + (1 - from) * Math.max(0, age) / warmWithin;
    }
  }

  /**
   * Deductions from the result, each multiplied by its share or rate.
   *
   * @param crossZone attempts that cross zones
   * @param waste work that led to no answer
   * @param lateFailure worth of requests that ended unserved after their aim
   * @param origin fetches from the origin
   * @param probe probes
   * @param handshake new connections
   * @param connection open connections
   * @param peer bytes between instances
   * @param discovery list entries
   */
  public record Prices(
      double crossZone,
      double waste,
      double lateFailure,
      double origin,
      double probe,
      double handshake,
      double connection,
      double peer,
      double discovery) {}

  /**
   * A class of requests.
   *
   * @param name its name
   * @param aim time within which an answer has its full worth, in seconds
   * @param aimStretch multiple of the request's own work by which the aim grows
   * @param deadline how long the client waits over all its attempts, in seconds
   * @param worth what a request is worth
   * @param lateShare the part of the worth that an answer after the aim still has
   * @param effect the effect of repeating it
   * @param group which servers drop its repeats
   * @param repeatWindow how long they drop them, in seconds after the first attempt that may have
   *     run
   * @param streamed whether answers are streamed
   */
  public record ServiceClass(
      String name,
      double aim,
      double aimStretch,
      double deadline,
      double worth,
      double lateShare,
      Effect effect,
      Group group,
      double repeatWindow,
      boolean streamed) {}

  /**
   * A tenant.
   *
   * @param name its name
   * @param share its share of the service
   * @param quota requests per second within its share, over all instances
   */
  public record Tenant(String name, double share, double quota) {}
}
