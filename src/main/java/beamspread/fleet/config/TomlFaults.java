package beamspread.fleet.config;

import java.util.List;

/** All that is wrong with a file. */
public final class TomlFaults extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<String> faults;

  TomlFaults(List<String> faults) {
    super(String.join(System.lineSeparator(), faults));
    this.faults = List.copyOf(faults);
  }

  /** Each fault, as FILE:LINE: KEY: PROBLEM. */
  public List<String> faults() {
    return faults;
  }
}
