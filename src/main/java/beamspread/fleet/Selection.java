package beamspread.fleet;

import beamspread.fleet.api.Api;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Which instances are meant.
 *
 * @param names names, {@code AGENT/NAME}, or either with {@code *} and {@code ?}; empty for all
 * @param zones zones, empty for all
 * @param agents agents, empty for all
 */
public record Selection(List<String> names, List<String> zones, List<String> agents) {

  /** A selection that cannot be followed; the message says why. */
  public static final class SelectionException extends Exception {
    private static final long serialVersionUID = 1L;

    SelectionException(String message) {
      super(message);
    }
  }

  /** Everything. */
  public static Selection all() {
    return new Selection(List.of(), List.of(), List.of());
  }

  /** Whether an agent can have anything that is meant. */
  public boolean concerns(String agent) {
    if (!agents.isEmpty() && !agents.contains(agent)) {
      return false;
    }
    for (String name : names) {
      int slash = name.indexOf('/');
      if (slash < 0 || pattern(name.substring(0, slash)).matcher(agent).matches()) {
        return true;
      }
    }
    return names.isEmpty();
  }

  /** The instances that are meant, in the order of the agents and their names. */
  public List<Target> of(List<Api.InstanceView> instances) throws SelectionException {
    List<Api.InstanceView> offered = new ArrayList<>();
    for (Api.InstanceView instance : instances) {
      if (concerns(instance.agent()) && (zones.isEmpty() || zones.contains(instance.zone()))) {
        offered.add(instance);
      }
    }
    Set<Target> chosen = new LinkedHashSet<>();
    for (String name : names) {
      List<Target> found = new ArrayList<>();
      Pattern pattern = pattern(name);
      for (Api.InstanceView one : offered) {
        String text = name.contains("/") ? one.agent() + "/" + one.name() : one.name();
        if (pattern.matcher(text).matches()) {
          found.add(new Target(one.name(), one.agent(), one.zone()));
        }
      }
      boolean exact = name.indexOf('*') < 0 && name.indexOf('?') < 0;
      if (found.isEmpty()) {
        throw new SelectionException(
            "no instance '" + name + "' among those of the agents that answer: see 'fleet list'");
      }
      if (exact && found.size() > 1) {
        throw new SelectionException(
            "'"
                + name
                + "' stands for "
                + found.stream().map(Target::path).toList()
                + ": write AGENT/NAME");
      }
      chosen.addAll(found);
    }
    if (names.isEmpty()) {
      offered.forEach(one -> chosen.add(new Target(one.name(), one.agent(), one.zone())));
    }
    if (chosen.isEmpty()) {
      throw new SelectionException("no instance is chosen: see 'fleet list'");
    }
    return List.copyOf(chosen);
  }

  private static Pattern pattern(String glob) {
    StringBuilder regex = new StringBuilder();
    for (char c : glob.toCharArray()) {
      regex.append(c == '*' ? "[^/]*" : c == '?' ? "[^/]" : Pattern.quote(String.valueOf(c)));
    }
    return Pattern.compile(regex.toString());
  }
}
