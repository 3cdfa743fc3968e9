package beamspread.fleet.api;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/** How an operation ended at one instance. */
public enum Outcome {
  /** Done, and seen to be done. */
  @JsonProperty("succeeded")
  SUCCEEDED,
  /** Not done, and seen not to be done. */
  @JsonProperty("failed")
  FAILED,
  /** Turned down before anything was begun. */
  @JsonProperty("refused")
  REFUSED,
  /** It may have been done or not: nobody who could be asked knows. */
  @JsonProperty("unknown")
  UNKNOWN,
  /** Not begun, because there was no need or the rollout had stopped. */
  @JsonProperty("skipped")
  SKIPPED;

  /** As it is written everywhere. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** The outcome of this word. */
  public static Outcome of(String word) {
    return valueOf(word.toUpperCase(Locale.ROOT));
  }
}
