package beamspread.scale;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The figures of one size, by name, in the order in which they were taken. */
public final class Figures {
  /** All that a run may tell of a size. */
  static final List<String> NAMES =
      List.of(
          "node.heap_mb",
          "node.resident_mb",
          "node.descriptors",
          "node.rest_core_percent",
          "node.rest_bytes_in_per_s",
          "node.rest_bytes_out_per_s",
          "node.change_cpu_ms",
          "node.change_bytes_in",
          "node.change_median_s",
          "node.change_99_s",
          "node.change_last_s",
          "discovery.rest_core_percent",
          "discovery.change_cpu_ms",
          "agent.heap_mb",
          "agent.resident_mb",
          "agent.descriptors",
          "agent.rest_core_percent",
          "agent.call_cpu_ms",
          "agent.call_bytes_in",
          "agent.call_bytes_out",
          "command.call_median_s",
          "command.call_last_s",
          "command.call_cpu_ms",
          "member.bytes_per_s",
          "member.core_percent",
          "member.death_median_s",
          "member.death_last_s",
          "member.deaths_missed");

  private final Map<String, BigDecimal> values = new LinkedHashMap<>();

  /** Notes a figure, to three digits: more is chance. */
  void put(String name, double value) {
    if (!NAMES.contains(name)) {
      throw new IllegalArgumentException(name);
    }
    values.put(
        name,
        new BigDecimal(Double.toString(value)).round(new MathContext(3)).stripTrailingZeros());
  }

  /** All of them, as plain numbers. */
  public Map<String, BigDecimal> values() {
    return values;
  }

  /** The value of a name; not a number where it was not taken. */
  double of(String name) {
    BigDecimal value = values.get(name);
    return value == null ? Double.NaN : value.doubleValue();
  }
}
