package beamspread.record;

/** What is read from the record. */
public final class Rows {
  private Rows() {}

  /** An operation; {@code endedMillis} is 0 while it is under way. */
  public record Operation(
      String id,
      String kind,
      String by,
      String plan,
      long beganMillis,
      String state,
      long endedMillis) {}

  /** A step; {@code outcome} is null while it is under way, {@code intent} until it acts. */
  public record Step(
      String operation,
      String instance,
      int attempt,
      String kind,
      long token,
      String intent,
      long beganMillis,
      String outcome,
      String reason,
      long endedMillis) {}

  /** A lease. */
  public record Lease(
      String instance,
      long token,
      String lease,
      String operation,
      String kind,
      String by,
      long sinceMillis,
      long ttlMillis) {}

  /** Whether an instance is meant to run. */
  public record Instance(String name, boolean run) {}
}
