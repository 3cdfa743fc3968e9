package beamspread.chaos;

import java.io.IOException;

/** A process that faults can befall. */
public interface Victim {
  /** Sends it a signal; nothing if it has ended. */
  void signal(String signal) throws IOException, InterruptedException;

  /** Kills it and waits until it is gone. */
  void kill() throws IOException, InterruptedException;

  /** Tells it to end; returns at once. */
  default void term() throws IOException, InterruptedException {
    signal("TERM");
  }

  /**
   * Starts it again, without waiting until it answers; nothing where somebody else does so.
   *
   * @param fresh from nothing, without what it had on disk
   */
  void startAgain(boolean fresh) throws IOException, InterruptedException;

  /** Starts a new process beside the one that runs; only where the scene has upgrades. */
  default void startBeside() throws IOException, InterruptedException {
    throw new IOException("this process has no upgrades");
  }

  /** Tells the old one to end if the new one is ready, else ends the new one. */
  default void endUpgrade() throws IOException, InterruptedException {
    throw new IOException("this process has no upgrades");
  }
}
