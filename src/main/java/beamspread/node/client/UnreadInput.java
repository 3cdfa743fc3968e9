package beamspread.node.client;

import beamspread.loop.EventLoopMonitor;

/**
 * Tells how long the input of one client can have waited while the node did not read it. A command
 * that is read after such a pause may be as old as the pause, and its client's deadline counts from
 * when it was sent.
 */
final class UnreadInput {
  /** Whether input that came during a pause may still be unread. */
  private boolean mayBeOld;

  private long pausedSinceNanos;

  /** Records that input is not read from now on; a pause within the last one continues it. */
  void paused(long now) {
    if (!mayBeOld) {
      mayBeOld = true;
      pausedSinceNanos = now;
    }
  }

  /** Records that everything that came so far was read. */
  void caughtUp() {
    mayBeOld = false;
  }

  /** Returns the highest age of a command that is read now; 0 if it is too low to matter. */
  long maxAgeNanos(long now) {
    long age = mayBeOld ? now - pausedSinceNanos : 0;
    return age < EventLoopMonitor.PAUSE_NANOS ? 0 : age;
  }
}
