package beamspread.loop;

import java.io.IOException;

/** Decides whether a listening socket accepts more connections. */
public interface AcceptGate {
  /**
   * Returns whether one more connection may be accepted now; if not, it stays in the queue of the
   * operating system.
   *
   * @param unregistered number of connections that were accepted just now and are not registered
   */
  boolean mayAccept(int unregistered);

  /** Called when the system call has failed, for example for want of descriptors. */
  void acceptFailed(IOException cause);
}
