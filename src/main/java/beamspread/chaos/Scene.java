package beamspread.chaos;

import java.util.List;

/**
 * Processes that work together, what is asked of them meanwhile, and what must always hold. A scene
 * is played once.
 */
public interface Scene {
  /** All parties that talk over links, each with whom it opens connections to. */
  List<Network.Link> links();

  /** Those that can be stopped and killed. */
  List<String> processes();

  /** Whether a process can be replaced by a new one that is started beside it. */
  default boolean upgrades() {
    return false;
  }

  /** Starts all and begins to ask; returns once all answer. */
  void begin(Stage stage) throws Exception;

  /** The process of this name, once all have been started. */
  Victim victim(String process);

  /** Nothing befalls anybody any more: looks at what is left, and ends asking. */
  void end() throws Exception;

  /** What was broken, by the whole history. */
  List<Breach> judge(List<History.Event> events);

  /** Ends all processes that it started, however far it came. */
  void clear() throws Exception;
}
