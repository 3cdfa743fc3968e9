package beamspread.model;

import java.util.List;

/**
 * What an instance is told when it starts.
 *
 * @param zone the instance's own zone
 * @param zones all zones
 * @param kinds the machine kinds
 * @param number the instance's number
 * @param instances how many instances the tier has
 * @param asksForList whether the list comes only when asked for
 * @param weights what the weights in the list mean
 * @param cache how the caches work
 * @param limits what the deployment permits
 * @param contract the figures of the four rules
 * @param prices what comes off the result
 * @param services the request classes
 * @param tenants the tenants, empty where there are none
 * @param overShareWorth worth of a request past its tenant's share, as a part of its class's worth
 * @param tick the shortest time between two batches of events, in seconds
 * @param spread how keys are spread over servers
 */
public record Settings(
    String zone,
    List<String> zones,
    List<String> kinds,
    int number,
    int instances,
    boolean asksForList,
    Weights weights,
    CacheMode cache,
    Limits limits,
    Contract contract,
    Prices prices,
    List<ServiceClass> services,
    List<Tenant> tenants,
    double overShareWorth,
    double tick,
    Spread spread) {

  /** This instance's part of the floor of the cap, rounded up. */
  public int floorPart() {
    return (spread.tierFloor() + instances - 1) / instances;
  }

  /** The same with other limits. */
  public Settings with(Limits others) {
    return new Settings(
        zone,
        zones,
        kinds,
        number,
        instances,
        asksForList,
        weights,
        cache,
        others,
        contract,
        prices,
        services,
        tenants,
        overShareWorth,
        tick,
        spread);
  }

  /**
   * How keys are spread over servers. All instances of a tier have the same.
   *
   * @param epsilon ε of the paper: how far a server's requests in flight may lie above the mean
   * @param tierFloor the floor of the cap, over all instances together
   * @param points of a server of unit weight on the ring
   */
  public record Spread(double epsilon, int tierFloor, int points) {
    /**
     * What all have run with. The floor is a few requests for each core of a usual machine, so that
     * chance alone sends no key to caches lacking it; with as many points, the shares of homes
     * differ by about 1/sqrt(128).
     */
    public static final Spread USUAL = new Spread(0.5, 12, 128);
  }

  /** What the weights in the list mean. */
  public enum Weights {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE;

    /** Whether they tell a size that stays as it is. */
    public boolean steady() {
      return this == NOMINAL || this == ROUGH;
    }
  }

  /** What repeating a request does. */
  public enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** Which servers drop the repeats of a keyed request. */
  public enum Group {
    ALL,
    ZONE,
    CELL;

    /** Whether two servers are of one group. */
    public boolean holds(ServerEntry a, ServerEntry b) {
      return switch (this) {
        case ALL -> true;
        case ZONE -> a.zone().equals(b.zone());
        case CELL -> a.cell() == b.cell() && a.zone().equals(b.zone());
      };
    }
  }

  /**
   * How the caches work.
   *
   * @param aside whether the instance itself fetches from the origin what a cache lacks
   * @param originKind the machine kind of the origin in the list, null if it is not listed
   * @param originFallMultiple the multiple of its capacity at which the origin halts, 0 for none
   * @param originFallSeconds how long that takes
   */
  public record CacheMode(
      boolean aside, String originKind, double originFallMultiple, double originFallSeconds) {}

  /**
   * What the deployment permits.
   *
   * @param maxAttempts attempts a request may have
   * @param parallelAttempts whether two may be out together
   * @param mayCancel whether attempts may be called off
   * @param mayProbe whether servers may be probed
   * @param mayTell whether instances may send each other messages
   * @param advisesRetry whether clients are given a time to stay away
   * @param maxRetryAfter the longest time that clients follow
   * @param connectTimeout seconds after which a connection attempt fails
   * @param idleTimeout seconds after which an idle connection is closed
   * @param perConnection attempts that share a connection
   * @param maxOpen requests that may be open at a time
   */
  public record Limits(
      int maxAttempts,
      boolean parallelAttempts,
      boolean mayCancel,
      boolean mayProbe,
      boolean mayTell,
      boolean advisesRetry,
      double maxRetryAfter,
      double connectTimeout,
      double idleTimeout,
      int perConnection,
      int maxOpen) {

    /** The same with no more requests open than this. */
    public Limits open(int most) {
      return new Limits(
          maxAttempts,
          parallelAttempts,
          mayCancel,
          mayProbe,
          mayTell,
          advisesRetry,
          maxRetryAfter,
          connectTimeout,
          idleTimeout,
          perConnection,
          Math.min(most, maxOpen));
    }
  }

  /**
   * The figures of the four rules.
   *
   * @param answerGrace how long past the client's deadline a final answer still counts
   * @param askWithin how long an instance without a subscription may go without asking
   * @param drainGrace how long sends to a draining server may go on
   * @param coldFrom the share of its capacity that a started server has at least
   * @param warmWithin the time after which it is warm at the latest
   * @param overloadFactor the multiple of its capacity that pushes a cold server over
   * @param overloadFor how long that takes
   */
  public record Contract(
      double answerGrace,
      double askWithin,
      double drainGrace,
      double coldFrom,
      double warmWithin,
      double overloadFactor,
      double overloadFor) {

    /**
     * The share of its capacity that a server has so many seconds after its start: 1 once it is
     * warm.
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
   * What comes off the result, each times its share or rate.
   *
   * @param crossZone attempts that cross zones
   * @param waste work that served no answer
   * @param lateFailure worth that ended unserved after its aim
   * @param origin fetches from the origin
   * @param probe probes
   * @param handshake new connections
   * @param connection open connections
   * @param peer bytes between instances
   * @param discovery list lines
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
   * @param aim an answer inside this time has the full worth
   * @param aimStretch multiple of the request's own work by which the aim grows
   * @param deadline how long the client waits over all its tries
   * @param worth what a request is worth
   * @param lateShare the part of the worth that an answer past the aim still has
   * @param effect what repeating it does
   * @param group which servers drop its repeats
   * @param repeatWindow how long they do so, from the first send that may have run
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
   * @param share its part of the service
   * @param quota requests a second within its share, over all instances
   */
  public record Tenant(String name, double share, double quota) {}
}
