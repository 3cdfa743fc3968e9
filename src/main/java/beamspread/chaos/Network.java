package beamspread.chaos;

import java.util.ArrayList;
import java.util.List;

/**
 * What befalls each link at a time: the faults that have begun and not ended. What is true of the
 * links of a run is asked here, by the relays that carry it out and by who judges afterwards.
 */
public final class Network {
  /** A pair that talks; who opens connections stands first. */
  public record Link(String from, String to) {}

  private final List<Fault> active = new ArrayList<>();

  /** A fault has begun. */
  public void begin(Fault fault) {
    active.add(fault);
  }

  /** A fault is over; one that did not begin changes nothing. */
  public void end(Fault fault) {
    active.remove(fault);
  }

  /** All that befalls what this one sends to that one. */
  public LinkState state(String sender, String receiver) {
    LinkState state = LinkState.CLEAR;
    for (Fault fault : active) {
      if (fault.befalls(sender, receiver)) {
        state = state.and(fault.state());
      }
    }
    return state;
  }

  /** Whether nothing that one sends reaches the other. */
  public boolean cut(String sender, String receiver) {
    return state(sender, receiver).cut();
  }

  /** The faults that have begun and not ended. */
  public List<Fault> active() {
    return List.copyOf(active);
  }
}
