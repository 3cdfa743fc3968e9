package beamspread.policy;

import beamspread.model.Settings;
import java.util.SplittableRandom;

/** Decides how many servers share a key, and in which zones. */
final class KeyOwners {
  /**
   * A key is cached in this zone too if its recent requests here times the price of crossing zones
   * reach this value; below it, the extra misses cost more.
   */
  private static final double MIN_ZONE_COPY_SAVING = 0.15;

  /** Jumps that look for a server in this zone, for each zone and each owner of the key. */
  private static final double JUMPS_PER_ZONE_AND_OWNER = 3;

  /** A key with more than this part of a server's fair share of requests gets several owners. */
  private static final double HOT_KEY_PART = 0.5;

  private final Settings settings;
  private final SplittableRandom random;
  private final KeyFrequencySketch keyFrequencies = new KeyFrequencySketch();

  KeyOwners(Settings settings, SplittableRandom random) {
    this.settings = settings;
    this.random = random;
  }

  /**
   * Assigns the owners of a request's key. A hot key gets several, the first ones of its sequence.
   * A key can outgrow one server while each balancer sees too few of its requests to reach a cap;
   * its share of this balancer's requests approximates its share of all requests. If crossing zones
   * has a price, writes and keys that this zone requests often go to owners in this zone.
   *
   * @param serverCount number of servers that may own keys
   */
  void assign(double now, PendingRequest call, int serverCount) {
    boolean write = call.request.write();
    double estimate = write ? 0 : keyFrequencies.recordAndEstimate(now, call.keyHash);
    double lowerBound = estimate - Math.sqrt(estimate); // Few requests are mostly noise.
    double zones = Math.max(1, settings.zones().size());
    double seenInZone = estimate + lowerBound * (Math.max(1, settings.instances() / zones) - 1);
    boolean local =
        settings.prices().crossZone() > 0
            && (write || seenInZone * settings.prices().crossZone() >= MIN_ZONE_COPY_SAVING);
    double share = lowerBound / Math.max(keyFrequencies.total, 50);
    double servers = local ? serverCount / zones : serverCount;
    call.owners = (int) Math.max(1, Math.min(servers, Math.ceil(share * servers / HOT_KEY_PART)));
    call.zoneJumps = local ? (int) (call.owners * zones * JUMPS_PER_ZONE_AND_OWNER) : 0;
    call.firstOwner = call.owners > 1 ? random.nextInt(call.owners) * (local ? (int) zones : 1) : 0;
  }
}
