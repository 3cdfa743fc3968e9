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
 * The list of cache servers, or a change of it, in discovery's form.
 *
 * @param full whether it is the whole list
 * @param version its version
 * @param members its lines
 * @param faults what can't be worked with in them, in words for operators
 */
public record MemberList(boolean full, long version, List<Member> members, List<String> faults) {

  /** One whose lines can all be worked with. */
  public MemberList(boolean full, long version, List<Member> members) {
    this(full, version, members, List.of());
  }

  /**
   * One cache server.
   *
   * @param entry what the decision module is told of it
   * @param address where this node reaches it; null for one that has left, or whose address can't
   *     be read
   */
  public record Member(ServerEntry entry, SocketAddress address) {}

  /**
   * Reads a list as discovery writes it. A line whose address can't be read is kept without one.
   *
   * @throws WireException if it is no list, or if no line of it has a good address
   */
  public static MemberList parse(Message list) throws WireException {
    List<Member> members = new ArrayList<>();
    List<String> faults = new ArrayList<>();
    for (Message line : list.requiredObjects("servers")) {
      ServerEntry.State state =
          switch (line.requiredText("state")) {
            case "active" -> ServerEntry.State.READY;
            case "left" -> ServerEntry.State.GONE;
            default -> ServerEntry.State.DRAINING;
          };
      SocketAddress address = null;
      if (state != ServerEntry.State.GONE) {
        String text = line.requiredText("addr");
        try {
          address = address(text);
        } catch (WireException e) {
          // One bad line keeps none of the others back.
          faults.add("server " + line.requiredText("id") + ": addr: " + e.getMessage());
        }
      }
      members.add(
          new Member(
              new ServerEntry(
                  number(line.requiredText("id")),
                  line.text("zone", ""),
                  line.text("kind", ""),
                  (int) line.number("cell", 0),
                  state,
                  line.number("weight", 1),
                  line.number("started_ms", 0) / 1e3),
              address));
    }
    if (!faults.isEmpty() && faults.size() == members.size()) {
      throw new WireException(faults.get(0));
    }
    return new MemberList(
        list.flag("full"), (long) list.requiredNumber("version"), members, faults);
  }

  /**
   * The number by which the module knows a server: made from the id alone, so that all nodes agree
   * on a key's home, and wide enough that no two ids of a fleet meet.
   */
  public static long number(String id) {
    return UUID.nameUUIDFromBytes(id.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
  }

  /** An address and port written in figures: there is no DNS. */
  public static InetSocketAddress address(String text) throws WireException {
    return address(text, 1);
  }

  /** As an address to listen on: port 0 has the system choose one, which the status tells. */
  public static InetSocketAddress listenAddress(String text) throws WireException {
    return address(text, 0);
  }

  private static InetSocketAddress address(String text, int leastPort) throws WireException {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (ip != null && port >= leastPort && port < 1 << 16) {
        return new InetSocketAddress(InetAddress.getByAddress(ip), port);
      }
    } catch (NumberFormatException | UnknownHostException e) {
      // Told below.
    }
    throw new WireException("'" + text + "' is not an IP address and port");
  }
}
