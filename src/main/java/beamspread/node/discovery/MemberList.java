package beamspread.node.discovery;

import beamspread.model.ServerEntry;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/**
 * The list of cache servers, or a change to it, as discovery sends it.
 *
 * @param full whether this is the full list, not a change
 * @param version the version of the list
 * @param members the entries
 * @param faults descriptions of unusable entries, for the log
 */
public record MemberList(boolean full, long version, List<Member> members, List<String> faults) {

  /** Creates a list without faults. */
  public MemberList(boolean full, long version, List<Member> members) {
    this(full, version, members, List.of());
  }

  /**
   * One cache server.
   *
   * @param entry the server as the decision module sees it
   * @param address the address of the server; null if it has left the list or if its address is
   *     invalid
   */
  public record Member(ServerEntry entry, SocketAddress address) {}

  /**
   * Parses a list in discovery's format. An entry with an invalid address is kept without address.
   *
   * @throws WireException if the message is not a list, or if no entry has a valid address
   */
  public static MemberList parse(Message message) throws WireException {
    List<Member> members = new ArrayList<>();
    List<String> faults = new ArrayList<>();
    for (Message server : message.requiredObjects("servers")) {
      ServerEntry.State state =
          switch (server.requiredText("state")) {
            case "active" -> ServerEntry.State.READY;
            case "left" -> ServerEntry.State.GONE;
            default -> ServerEntry.State.DRAINING;
          };
      SocketAddress address = null;
      if (state != ServerEntry.State.GONE) {
        String addressText = server.requiredText("addr");
        try {
          address = parseAddress(addressText);
        } catch (WireException e) {
          // One invalid entry must not block the others.
          faults.add("server " + server.requiredText("id") + ": addr: " + e.getMessage());
        }
      }
      members.add(
          new Member(
              new ServerEntry(
                  serverNumber(server.requiredText("id")),
                  server.text("zone", ""),
                  server.text("kind", ""),
                  (int) server.number("cell", 0),
                  state,
                  server.number("weight", 1),
                  server.number("started_ms", 0) / 1e3),
              address));
    }
    if (!faults.isEmpty() && faults.size() == members.size()) {
      throw new WireException(faults.get(0));
    }
    return new MemberList(
        message.flag("full"), (long) message.requiredNumber("version"), members, faults);
  }

  /**
   * Returns the number that identifies a server in the decision module. It depends on the id alone,
   * so that all nodes map a key to the same server, and has 64 bits, so that no two ids of a fleet
   * collide.
   */
  public static long serverNumber(String id) {
    return UUID.nameUUIDFromBytes(id.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
  }

  /** Parses a numeric IP address and port; names are not resolved. */
  public static InetSocketAddress parseAddress(String text) throws WireException {
    return parseAddress(text, 1);
  }

  /**
   * Parses an address to listen on. With port 0 the system chooses a port, which is in the status.
   */
  public static InetSocketAddress parseListenAddress(String text) throws WireException {
    return parseAddress(text, 0);
  }

  private static InetSocketAddress parseAddress(String text, int minPort) throws WireException {
    int colon = text.lastIndexOf(':');
    byte[] ipBytes =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (ipBytes != null && port >= minPort && port < 1 << 16) {
        return new InetSocketAddress(InetAddress.getByAddress(ipBytes), port);
      }
    } catch (NumberFormatException | UnknownHostException e) {
      // Reported below.
    }
    throw new WireException("'" + text + "' is not an IP address and port");
  }
}
