package beamspread.agent;

import beamspread.fleet.api.Outcome;

/** What an {@link InstanceMachine} has done. None of it calls the machine back at once. */
interface InstanceActions {

  /** Start the process; its coming or failing is told. */
  void launch();

  /** Send SIGTERM. */
  void terminate(ProcessId process);

  /** Send SIGKILL. */
  void kill(ProcessId process);

  /** Send SIGHUP. */
  void hangUp(ProcessId process);

  /** Ask the node for its status; the answer, or that there is none, is told. */
  void look(ProcessId process);

  /** Put on record what a step is about to do; that this is done or failed is told. */
  void intend(Step step, Intent intent);

  /** The SHA-256 of the instance's configuration file as it is now; empty if it can't be read. */
  String digest();

  /** A step has ended. */
  void ended(Step step, Outcome outcome, String reason);

  /** The state has changed. */
  void changed(InstanceMachine.State state, String reason);
}
