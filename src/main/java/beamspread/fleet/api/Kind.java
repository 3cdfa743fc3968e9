package beamspread.fleet.api;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/** What can be done to an instance. */
public enum Kind {
  @JsonProperty("start")
  START,
  @JsonProperty("stop")
  STOP,
  @JsonProperty("restart")
  RESTART,
  @JsonProperty("reload")
  RELOAD;

  /** As it is written everywhere. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** The kind of this word. */
  public static Kind of(String word) {
    return valueOf(word.toUpperCase(Locale.ROOT));
  }

  /** Whether an instance serves nobody for a while when this is done to it. */
  public boolean interrupts() {
    return this == STOP || this == RESTART;
  }
}
