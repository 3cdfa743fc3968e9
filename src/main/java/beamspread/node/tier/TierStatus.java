package beamspread.node.tier;

import beamspread.tier.MemberState;
import beamspread.tier.TierCounts;
import beamspread.tier.TierView;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Locale;

/** Writes the {@code tier} field of the node's status. */
public final class TierStatus {
  private TierStatus() {}

  /** Writes the field {@code tier}; {@code null} if the node is not a member of a tier. */
  public static void write(JsonGenerator json, TierSocket socket) throws IOException {
    if (socket == null) {
      json.writeNullField("tier");
      return;
    }
    TierView view = socket.view();
    json.writeObjectFieldStart("tier");
    json.writeNumberField("self", view.self());
    json.writeNumberField("version", view.version());
    json.writeStringField("digest", String.format("%08x", view.digest()));
    json.writeStringField("standing", lowerCaseName(view.selfState()));
    json.writeBooleanField("superseded", socket.tier().superseded());
    TierView.Connectivity connected = view.connectivity();
    json.writeObjectFieldStart("connected");
    json.writeNumberField("hears", roundToThreeDecimals(connected.hears()));
    json.writeNumberField("heard_by", roundToThreeDecimals(connected.heardBy()));
    json.writeNumberField("both_ways", roundToThreeDecimals(connected.bothWays()));
    json.writeNumberField("of", connected.memberCount());
    json.writeEndObject();
    json.writeArrayFieldStart("members");
    for (TierView.MemberView member : view.members()) {
      writeMember(json, member);
    }
    json.writeEndArray();
    writeCounts(json, socket.tier().counts());
    json.writeEndObject();
  }

  private static void writeMember(JsonGenerator json, TierView.MemberView member)
      throws IOException {
    json.writeStartObject();
    json.writeNumberField("number", member.record().number());
    json.writeStringField("name", member.info() == null ? null : member.info().name());
    json.writeStringField("zone", member.info() == null ? null : member.info().zone());
    json.writeStringField("runs", member.info() == null ? null : member.info().version());
    json.writeStringField(
        "state", member.isSuspect() ? "suspect" : lowerCaseName(member.record().state()));
    json.writeStringField("incarnation", Long.toHexString(member.record().incarnation()));
    json.writeNumberField("life", member.record().revision());
    json.writeNumberField("since_ms", member.sinceNanos() / 1_000_000);
    json.writeNumberField(
        "heard_ms", member.sinceHeardNanos() < 0 ? -1 : member.sinceHeardNanos() / 1_000_000);
    json.writeNumberField("confidence", roundToThreeDecimals(member.confidence()));
    json.writeArrayFieldStart("missed_by");
    for (int number : member.missedBy()) {
      json.writeNumber(number);
    }
    json.writeEndArray();
    json.writeEndObject();
  }

  private static void writeCounts(JsonGenerator json, TierCounts counts) throws IOException {
    json.writeObjectFieldStart("counts");
    json.writeNumberField("sent", counts.sentDatagrams());
    json.writeNumberField("sent_bytes", counts.sentBytes());
    json.writeNumberField("received", counts.receivedDatagrams());
    json.writeNumberField("changes", counts.changes());
    json.writeNumberField("stands", counts.stalls());
    for (String reason : new String[] {"malformed", "foreign", "misplaced", "past"}) {
      json.writeNumberField(reason, counts.rejected(reason));
    }
    json.writeEndObject();
  }

  private static String lowerCaseName(MemberState state) {
    return state.name().toLowerCase(Locale.ROOT);
  }

  private static double roundToThreeDecimals(double value) {
    return Math.round(value * 1000) / 1000.0;
  }
}
