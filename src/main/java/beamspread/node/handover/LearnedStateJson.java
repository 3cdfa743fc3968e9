package beamspread.node.handover;

import beamspread.model.LearnedState;
import beamspread.node.wire.Json;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Writes and reads the learnt state of a process as JSON, for the process that takes over. Data
 * that is too old, of another version, or malformed is ignored.
 */
public final class LearnedStateJson {
  /** Maximum age of learnt state, in seconds; older state says nothing about the current load. */
  public static final double MAX_AGE_SECONDS = 5;

  private LearnedStateJson() {}

  /**
   * Writes learnt state.
   *
   * @param nowSeconds the current time, in seconds since 1970
   * @return the JSON in UTF-8; null if not all rates have been learnt yet
   */
  public static byte[] write(double nowSeconds, LearnedState learnt) {
    if (!isValidRate(learnt.warmRate())
        || !isValidRate(learnt.answerRate())
        || !isValidRate(learnt.requestRate())) {
      return null;
    }
    return Json.object(
            json -> {
              json.writeNumberField("version", 1);
              json.writeNumberField("at", nowSeconds);
              json.writeNumberField("warm_rate", learnt.warmRate());
              json.writeNumberField("answer_rate", learnt.answerRate());
              json.writeNumberField("request_rate", learnt.requestRate());
              json.writeObjectFieldStart("shares");
              for (Map.Entry<Long, Double> share : learnt.keyShares().entrySet()) {
                json.writeNumberField(Long.toHexString(share.getKey()), share.getValue());
              }
              json.writeEndObject();
            })
        .getBytes(StandardCharsets.UTF_8);
  }

  private static boolean isValidRate(double value) {
    return value > 0 && value < 1e9;
  }

  /**
   * Reads learnt state.
   *
   * @param nowSeconds the current time, in seconds since 1970
   * @param bytes the JSON in UTF-8
   * @return null if the bytes are malformed or too old
   */
  public static LearnedState read(double nowSeconds, byte[] bytes) {
    Message json;
    try {
      json = Message.parse(new String(bytes, StandardCharsets.UTF_8));
    } catch (WireException e) {
      return null;
    }
    double age = nowSeconds - json.number("at", Double.NEGATIVE_INFINITY);
    if (json.number("version", 0) != 1 || !(Math.abs(age) <= MAX_AGE_SECONDS)) {
      return null;
    }
    Message shareFields = json.nested("shares");
    Map<Long, Double> shares = new HashMap<>();
    for (String server : shareFields.names()) {
      double share = shareFields.number(server, Double.NaN);
      try {
        if (share > 0 && share <= 1) {
          shares.put(Long.parseUnsignedLong(server, 16), share);
        }
      } catch (NumberFormatException e) {
        return null;
      }
    }
    LearnedState learnt =
        new LearnedState(
            json.number("warm_rate", 0),
            json.number("answer_rate", 0),
            json.number("request_rate", 0),
            shares);
    return isValidRate(learnt.warmRate())
            && isValidRate(learnt.answerRate())
            && isValidRate(learnt.requestRate())
        ? learnt
        : null;
  }
}
