package beamspread.node.handover;

import beamspread.model.LearnedState;
import beamspread.node.wire.Json;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * What a process has learnt, as JSON for the one that takes over. Read with care: a note that is
 * old, or of another version, or that makes no sense is no note.
 */
public final class LearntNote {
  /** A note tells of the load of now: this many seconds on it tells nothing any more. */
  public static final double FRESH_SECONDS = 5;

  private LearntNote() {}

  /**
   * Writes a note.
   *
   * @param at the clock's time, in seconds since 1970
   * @return null if too little is learnt yet for a note
   */
  public static byte[] write(double at, LearnedState learnt) {
    if (!rate(learnt.warmRate()) || !rate(learnt.answerRate()) || !rate(learnt.requestRate())) {
      return null;
    }
    return Json.object(
            json -> {
              json.writeNumberField("version", 1);
              json.writeNumberField("at", at);
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

  private static boolean rate(double value) {
    return value > 0 && value < 1e9;
  }

  /**
   * Reads a note.
   *
   * @param now the clock's time, in seconds since 1970
   * @return null if it is none, or too old
   */
  public static LearnedState read(double now, byte[] note) {
    Message json;
    try {
      json = Message.parse(new String(note, StandardCharsets.UTF_8));
    } catch (WireException e) {
      return null;
    }
    double age = now - json.number("at", Double.NEGATIVE_INFINITY);
    if (json.number("version", 0) != 1 || !(Math.abs(age) <= FRESH_SECONDS)) {
      return null;
    }
    Message told = json.nested("shares");
    Map<Long, Double> shares = new HashMap<>();
    for (String server : told.names()) {
      double share = told.number(server, Double.NaN);
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
    return rate(learnt.warmRate()) && rate(learnt.answerRate()) && rate(learnt.requestRate())
        ? learnt
        : null;
  }
}
