package beamspread.node.tier;

import beamspread.sim.Message;
import beamspread.sim.WireException;
import beamspread.tier.MemberInfo;
import beamspread.tier.TierSettings;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;

/**
 * Configuration of this node as a member of its tier.
 *
 * @param listen address on which datagrams are received
 * @param peers the address of each member number, this node's own included
 * @param number this node's member number
 * @param sharedPort whether two processes of this node may bind the port at the same time, as
 *     during an upgrade
 */
public record TierConfig(
    InetSocketAddress listen,
    List<InetSocketAddress> peers,
    int number,
    MemberInfo info,
    TierSettings settings,
    boolean sharedPort) {

  private static final Set<String> SETTING_KEYS =
      Set.of(
          "tier",
          "interval_s",
          "silence_s",
          "late_s",
          "doubt_s",
          "remember_s",
          "bytes_per_s",
          "burst_bytes");

  /** Copies the list of addresses. */
  public TierConfig {
    peers = List.copyOf(peers);
  }

  /**
   * Reads the tier's settings from the operators' file; settings that it does not name have their
   * defaults.
   *
   * @throws WireException that names the key and the error
   */
  public static TierSettings settings(Message file) throws WireException {
    for (String name : file.names()) {
      if (!SETTING_KEYS.contains(name)) {
        throw new WireException("unknown key '" + name + "'");
      }
    }
    TierSettings defaults;
    try {
      defaults = TierSettings.defaults(file.requiredText("tier"));
    } catch (IllegalArgumentException e) {
      throw new WireException("tier: " + e.getMessage());
    }
    try {
      return new TierSettings(
          defaults.name(),
          nanosOrDefault(file, "interval_s", defaults.intervalNanos()),
          nanosOrDefault(file, "silence_s", defaults.silenceNanos()),
          nanosOrDefault(file, "late_s", defaults.lateNanos()),
          nanosOrDefault(file, "doubt_s", defaults.doubtNanos()),
          nanosOrDefault(file, "remember_s", defaults.rememberNanos()),
          (int) numberOrDefault(file, "bytes_per_s", defaults.bytesPerSecond()),
          (int) numberOrDefault(file, "burst_bytes", defaults.burstBytes()));
    } catch (IllegalArgumentException e) {
      throw new WireException(e.getMessage());
    }
  }

  private static long nanosOrDefault(Message file, String name, long defaultValue)
      throws WireException {
    return (long) (numberOrDefault(file, name, defaultValue / 1e9) * 1e9);
  }

  private static double numberOrDefault(Message file, String name, double defaultValue)
      throws WireException {
    return file.has(name) ? file.requiredNumber(name) : defaultValue;
  }
}
