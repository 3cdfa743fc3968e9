package beamspread.record;

import java.util.List;
import java.util.Optional;

/**
 * The record of one agent. Not safe for use by several threads; one thread of the agent owns it.
 */
public interface FleetRecord extends AutoCloseable {

  /** The number of the agent's last start, 0 if there was none. */
  long starts() throws RecordException;

  /** The agent starts for this time; a lower number than is there changes nothing. */
  void started(long number) throws RecordException;

  /**
   * Writes all of these changes or none. Once this returns they survive a crash of the process and
   * of the machine. When it throws, the changes may or may not be there: write them again, or treat
   * what they tell as not told.
   */
  void commit(List<RecordChange> changes) throws RecordException;

  /** The newest operations first, at most so many. */
  List<Rows.Operation> operations(int most) throws RecordException;

  /** The operation of this id. */
  Optional<Rows.Operation> operation(String id) throws RecordException;

  /** The steps of an operation, by instance and attempt. */
  List<Rows.Step> steps(String operation) throws RecordException;

  /** All steps that began and have not ended. */
  List<Rows.Step> openSteps() throws RecordException;

  /** All leases. */
  List<Rows.Lease> leases() throws RecordException;

  /** The highest fencing token ever given out. */
  long lastToken() throws RecordException;

  /** What instances are meant to do. */
  List<Rows.Instance> instances() throws RecordException;

  /** Forgets all but the newest operations that have ended; returns how many went. */
  int prune(int keep) throws RecordException;

  @Override
  void close();
}
