package beamspread.record;

/** One change of the record. Writing the same change twice leaves what writing it once leaves. */
public sealed interface RecordChange {

  /**
   * An operation is about to begin here.
   *
   * @param plan what is meant to be done over all agents, as JSON
   */
  record OperationBegun(String id, String kind, String by, String plan, long atMillis)
      implements RecordChange {}

  /** An operation is over here; {@code state} says how. */
  record OperationEnded(String id, String state, long atMillis) implements RecordChange {}

  /**
   * A step, the part of an operation that concerns one instance, is about to begin.
   *
   * @param attempt which try at this instance under this operation, from 1
   * @param token the fencing token that it came with
   */
  record StepBegun(
      String operation, String instance, int attempt, String kind, long token, long atMillis)
      implements RecordChange {}

  /** What a step found before it acts, as JSON: by this its effect can be told after a crash. */
  record StepIntends(String operation, String instance, int attempt, String intent)
      implements RecordChange {}

  /** A step has ended. */
  record StepEnded(
      String operation, String instance, int attempt, String outcome, String reason, long atMillis)
      implements RecordChange {}

  /**
   * An instance is held by one operator's operation.
   *
   * @param lease the id of the holder's session
   * @param ttlMillis how long the lease lasts without being renewed
   */
  record LeaseTaken(
      String instance,
      long token,
      String lease,
      String operation,
      String kind,
      String by,
      long sinceMillis,
      long ttlMillis)
      implements RecordChange {}

  /** An instance is free again, if it is still held by this token. */
  record LeaseEnded(String instance, long token) implements RecordChange {}

  /** Whether an instance is meant to run. */
  record InstanceDesired(String instance, boolean run) implements RecordChange {}
}
