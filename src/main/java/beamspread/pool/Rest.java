package beamspread.pool;

/**
 * How long what is free may rest, by how scarce its kind is: the longest up to one measure of
 * scarcity, the shortest from another on, and between them less by the same part for each step.
 *
 * @param few up to which nothing gives way early
 * @param many from which on all gives way as soon as may be
 */
public record Rest(double few, double many) {
  /** The time for this measure; the longest where that is under the shortest. */
  public long nanos(double scarcity, long longest, long shortest) {
    if (scarcity <= few || longest <= shortest) {
      return longest;
    }
    if (scarcity >= many) {
      return shortest;
    }
    double part = (scarcity - few) / (many - few);
    return (long) (longest * Math.pow((double) shortest / longest, part));
  }
}
