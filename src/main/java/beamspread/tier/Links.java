package beamspread.tier;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The links to the other members, as far as anything went over them. */
final class Links {
  private final TierSettings settings;
  private final Map<Integer, Edge> edges = new HashMap<>();

  Links(TierSettings settings) {
    this.settings = settings;
  }

  /** The link to a member; a new one where there was none. */
  Edge to(int number) {
    return edges.computeIfAbsent(number, key -> new Edge());
  }

  /** The link to a member; null where nothing is known of it. */
  Edge known(int number) {
    return edges.get(number);
  }

  /** Whether a member that is watched has not been heard for longer than it may be. */
  boolean silent(long now, int number) {
    Edge edge = edges.get(number);
    return edge != null && edge.silence(now) > edge.patience(settings);
  }

  /** Whether a member said lately enough that it hears this process. */
  boolean hearsUs(long now, int number) {
    Edge edge = to(number);
    return edge.heardByAt() != Edge.NEVER && now - edge.heardByAt() <= edge.patience(settings);
  }

  /** This process stood still until now. */
  void stood(long now) {
    edges.values().forEach(edge -> edge.stood(now));
  }

  /** What is to be done with each link. */
  void each(Consumer<Map.Entry<Integer, Edge>> take) {
    edges.entrySet().forEach(take);
  }

  void forget(int number) {
    edges.remove(number);
  }
}
