package beamspread.node;

import beamspread.sim.Message;
import java.util.ArrayList;
import java.util.List;

/**
 * What a node cannot work without. The reader of the wire takes an absent figure for 0, which is
 * right for prices and wrong for promises: a node that knows no {@code ask-within} would call
 * discovery without pause, one that knows no {@code overload-factor} would never warm a server.
 */
final class SettingsCheck {
  private static final List<String> CONTRACT =
      List.of("drain-grace", "cold-from", "warm-within", "overload-factor", "overload-for");

  private SettingsCheck() {}

  /** All that is missing or makes no sense, each with its name; empty if nothing is. */
  static List<String> faults(Message settings) {
    List<String> faults = new ArrayList<>();
    Message contract = settings.nested("contract");
    if (settings.text("discovery", "push").equals("ask")) {
      positive(faults, contract, "contract.", "ask-within");
    }
    for (String name : CONTRACT) {
      positive(faults, contract, "contract.", name);
    }
    Message caps = settings.nested("caps");
    for (String name : List.of("attempts-cap", "connect-timeout", "conn-idle", "multiplex")) {
      positive(faults, caps, "caps.", name);
    }
    List<Message> services = settings.objects("services");
    if (services.isEmpty()) {
      faults.add("services is missing or empty");
    }
    for (int i = 0; i < services.size(); i++) {
      positive(faults, services.get(i), "services[" + i + "].", "give-up");
      positive(faults, services.get(i), "services[" + i + "].", "slo");
    }
    return faults;
  }

  private static void positive(List<String> faults, Message in, String path, String name) {
    double value = in.number(name, Double.NaN);
    if (Double.isNaN(value)) {
      faults.add(path + name + " is missing");
    } else if (value <= 0) {
      faults.add(path + name + " must be above 0, is " + value);
    }
  }
}
