package beamspread.chaos;

import java.nio.file.Path;

/**
 * Where a scene is played.
 *
 * @param folder of the run, for what processes keep
 */
public record Stage(Path folder, long seed, Relays relays, History history) {
  /** Something happened now. */
  public void tell(History.What what, String who, String says, Object... facts) {
    history.tell(System.nanoTime(), what, who, says, facts);
  }
}
