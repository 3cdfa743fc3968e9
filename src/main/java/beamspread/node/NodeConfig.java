package beamspread.node;

import beamspread.model.Settings;
import beamspread.sim.Dialect;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/**
 * What the platform tells a node.
 *
 * @param listen where clients connect
 * @param discovery where the list of servers is
 * @param seed for random numbers
 * @param sockets file descriptors that the process may hold
 * @param memoryMb memory that the process may hold
 * @param known the list of servers as this node last had it
 * @param settings the object that an instance in the simulator is told
 */
record NodeConfig(
    SocketAddress listen,
    SocketAddress discovery,
    long seed,
    int sockets,
    int memoryMb,
    MemberList known,
    Settings settings) {

  /** Reads the file of this name, usually from {@code ROUTER_CONFIG}. */
  static NodeConfig load(String file) throws WireException {
    if (file == null || file.isEmpty()) {
      throw new WireException("ROUTER_CONFIG does not name a file");
    }
    try {
      return parse(Message.parse(Files.readString(Path.of(file))));
    } catch (IOException | InvalidPathException | SecurityException e) {
      throw new WireException("cannot read " + file);
    } catch (WireException e) {
      throw new WireException(file + ": " + e.getMessage());
    }
  }

  static NodeConfig parse(Message config) throws WireException {
    Message limits = config.requiredNested("limits");
    Settings settings = Dialect.settings(config.requiredNested("settings"));
    if (settings.services().isEmpty()) {
      throw new WireException("settings without services");
    }
    return new NodeConfig(
        MemberList.address(config.requiredText("listen")),
        MemberList.address(config.requiredText("discovery")),
        seed(config.requiredText("seed")),
        (int) limits.requiredNumber("sockets"),
        (int) limits.requiredNumber("memory_mb"),
        MemberList.parse(config.requiredNested("known")),
        settings);
  }

  private static long seed(String text) throws WireException {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new WireException("seed '" + text + "' is not hexadecimal");
    }
  }

  /** The longest time that a client may wait, in seconds. */
  double longestDeadline() {
    return settings.services().stream()
        .mapToDouble(Settings.ServiceClass::deadline)
        .max()
        .orElseThrow();
  }
}
