package beamspread.agent;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Under which names an agent answers. Guards against DNS rebinding: a web page on an operator's own
 * machine whose name is made to point at the agent's address could steer the fleet from within the
 * browser. Its requests bear the page's name as {@code Host} (RFC 9110, 7.2) and {@code Origin}
 * (RFC 6454, 7).
 */
final class CallerNames {
  private final Set<String> names = new HashSet<>();
  private final String scheme;

  /**
   * @param host the address that the agent listens on
   * @param more further names that the operators have given it
   */
  CallerNames(String host, List<String> more, boolean tls) {
    names.add(host.toLowerCase(Locale.ROOT));
    more.forEach(name -> names.add(name.toLowerCase(Locale.ROOT)));
    scheme = tls ? "https://" : "http://";
  }

  /**
   * Checks a request's headers; null if they may be served, else why not.
   *
   * @param local the address that the connection came to
   */
  Refusal refusal(List<String> hosts, List<String> origins, InetAddress local) {
    if (hosts.size() != 1 || name(hosts.get(0)).isEmpty()) {
      return new Refusal(400, "bad_request", "exactly one Host is needed");
    }
    String name = name(hosts.get(0));
    if (!mine(name, local)) {
      return new Refusal(
          421,
          "foreign_host",
          "this agent is not '"
              + name
              + "': call it by the address that it listens on, or add the name to names under [api]"
              + " in its file");
    }
    for (String origin : origins) {
      if (!origin.equalsIgnoreCase(scheme + hosts.get(0))) {
        return new Refusal(403, "foreign_origin", "not to be called from pages of other sites");
      }
    }
    return null;
  }

  private boolean mine(String name, InetAddress local) {
    if (names.contains(name) || (name.equals("localhost") && local.isLoopbackAddress())) {
      return true;
    }
    byte[] address = NetUtil.createByteArrayFromIpAddressString(name);
    return address != null && Arrays.equals(address, local.getAddress());
  }

  /** The name without the port, nor the brackets of an IPv6 address. */
  private static String name(String host) {
    String text = host.strip().toLowerCase(Locale.ROOT);
    if (text.startsWith("[")) {
      int end = text.indexOf(']');
      return end < 0 ? "" : text.substring(1, end);
    }
    int colon = text.indexOf(':');
    return colon < 0 ? text : text.substring(0, colon);
  }
}
