package beamspread.pool;

/**
 * Maps scarcity to how long a free resource may stay idle: the longest time up to one scarcity, the
 * shortest from another on, and exponentially less in between.
 *
 * @param relaxedScarcity scarcity up to which nothing is closed early
 * @param criticalScarcity scarcity from which the shortest time applies
 */
public record IdleTimeScale(double relaxedScarcity, double criticalScarcity) {
  /** Returns the idle time for this scarcity; the longest if that is below the shortest. */
  public long idleTimeNanos(double scarcity, long maxNanos, long minNanos) {
    if (scarcity <= relaxedScarcity || maxNanos <= minNanos) {
      return maxNanos;
    }
    if (scarcity >= criticalScarcity) {
      return minNanos;
    }
    double fraction = (scarcity - relaxedScarcity) / (criticalScarcity - relaxedScarcity);
    return (long) (maxNanos * Math.pow((double) minNanos / maxNanos, fraction));
  }
}
