package beamspread.tier;

/**
 * Local health awareness (Lifeguard, Dadgar 2018): decides how far this process may trust its own
 * observations. A process that stalled, that runs its protocol periods late or that misses most of
 * its neighbours at once suspects itself before it suspects others.
 */
final class LocalHealth {
  private static final long NEVER = Long.MIN_VALUE;

  /**
   * For how many doubt periods this process's own link counts as working once it was found to work.
   */
  private static final int TRUST_FACTOR = 4;

  private final TierSettings settings;
  private long lastPeriodAt = NEVER;
  private long lastStallAt = NEVER;
  private long lastLongStallAt = NEVER;
  private long mostSilentSince = NEVER;
  private long linkTrustedUntil = NEVER;
  private boolean heardBothWays;

  LocalHealth(TierSettings settings) {
    this.settings = settings;
  }

  /**
   * Records the start of a protocol period.
   *
   * @param due when the period was due
   * @return for how long this process stalled before it, in nanoseconds; 0 if it did not
   */
  long recordPeriod(long now, long due) {
    long delay = lastPeriodAt == NEVER ? 0 : now - Math.max(due, lastPeriodAt);
    lastPeriodAt = now;
    if (delay <= settings.lateNanos()) {
      return 0;
    }
    lastStallAt = now;
    if (delay >= 2 * settings.lateNanos()) {
      lastLongStallAt = now;
    }
    return delay;
  }

  /**
   * Records how many neighbours are reachable now.
   *
   * @param neighbourCount number of neighbours
   * @param heardCount number of neighbours that this process hears
   * @param bothWaysCount number of observed members that this process hears and that report hearing
   *     it
   */
  void recordNeighbours(long now, int neighbourCount, int heardCount, int bothWaysCount) {
    heardBothWays = bothWaysCount > 0;
    if (2 * heardCount >= neighbourCount) {
      mostSilentSince = NEVER;
    } else if (mostSilentSince == NEVER) {
      mostSilentSince = now;
    }
    if (heardBothWays
        && mostSilentSince != NEVER
        && now - mostSilentSince >= settings.doubtNanos()) {
      // Members that are removed are replaced on the rings by others that may be silent as well, so
      // the doubt period is not started again for each of them.
      linkTrustedUntil = now + TRUST_FACTOR * settings.doubtNanos();
    }
  }

  /** Returns whether this process misses most of its neighbours. */
  boolean missesMostNeighbours() {
    return mostSilentSince != NEVER;
  }

  /**
   * Returns whether this process may suspect others. After a stall it first listens for as long as
   * a neighbour may be silent. Where most neighbours are silent it waits for the doubt period, and
   * suspects them only if at least one member hears it and is heard, which shows that its own link
   * works.
   */
  boolean maySuspectOthers(long now) {
    if (lastStallAt != NEVER && now - lastStallAt < settings.silenceNanos()) {
      return false;
    }
    return mostSilentSince == NEVER || heardBothWays && now < linkTrustedUntil;
  }

  /** Returns the state that this process reports of itself. */
  MemberState state(long now) {
    if (lastLongStallAt != NEVER && now - lastLongStallAt < 3 * settings.silenceNanos()) {
      return MemberState.PAUSED;
    }
    return maySuspectOthers(now) ? MemberState.ALIVE : MemberState.UNSURE;
  }
}
