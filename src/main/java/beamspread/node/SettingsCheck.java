package beamspread.node;

import beamspread.sim.Message;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks the settings that a node can't work without. The reader of the settings reads a missing
 * number as 0, which is right for prices and wrong for promises: without {@code ask-within} a node
 * would call discovery without pause, without {@code overload-factor} it would never warm a server.
 */
final class SettingsCheck {
  private static final List<String> REQUIRED_CONTRACT_FIELDS =
      List.of("drain-grace", "cold-from", "warm-within", "overload-factor", "overload-for");

  private SettingsCheck() {}

  /**
   * Returns one message for each value that is missing or invalid, with its name; empty if there is
   * none.
   */
  static List<String> faults(Message settings) {
    List<String> faults = new ArrayList<>();
    Message contract = settings.nested("contract");
    if (settings.text("discovery", "push").equals("ask")) {
      requirePositive(faults, contract, "contract.", "ask-within");
    }
    for (String name : REQUIRED_CONTRACT_FIELDS) {
      requirePositive(faults, contract, "contract.", name);
    }
    Message caps = settings.nested("caps");
    for (String name : List.of("attempts-cap", "connect-timeout", "conn-idle", "multiplex")) {
      requirePositive(faults, caps, "caps.", name);
    }
    List<Message> services = settings.objects("services");
    if (services.isEmpty()) {
      faults.add("services is missing or empty");
    }
    for (int i = 0; i < services.size(); i++) {
      requirePositive(faults, services.get(i), "services[" + i + "].", "give-up");
      requirePositive(faults, services.get(i), "services[" + i + "].", "slo");
    }
    return faults;
  }

  private static void requirePositive(
      List<String> faults, Message object, String path, String name) {
    double value = object.number(name, Double.NaN);
    if (Double.isNaN(value)) {
      faults.add(path + name + " is missing");
    } else if (value <= 0) {
      faults.add(path + name + " must be above 0, is " + value);
    }
  }
}
