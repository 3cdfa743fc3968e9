package beamspread.standin;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/** A configuration for a node that serves from stand-ins. */
public final class NodeConfigFile {
  private NodeConfigFile() {}

  /**
   * The file's text.
   *
   * @param nodes how many nodes the tier has
   * @param socket where the node tells its status
   */
  public static String text(
      String name,
      int number,
      int nodes,
      InetSocketAddress discovery,
      List<CacheServer> servers,
      Path socket) {
    return text(name, number, nodes, discovery, Discovery.list(1, servers), socket);
  }

  /** The same of cache servers as a list has them. */
  public static String text(
      String name, int number, int nodes, InetSocketAddress discovery, String list, Path socket) {
    return """
        {"name":"%s","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"%x",
         "status_socket":"%s",
         "limits":{"cores":1,"memory_mb":64,"sockets":256},
         "known":%s,
         "settings":{"zone":"a","azs":["a"],"kinds":["box"],"instances":%d,"my-number":%d,
          "discovery":"push","period":0.005,
          "caps":{"attempts-cap":6,"cancel":true,"connect-timeout":0.5,"conn-idle":60,
           "multiplex":32,"parallel-tries":true},
          "contract":{"ask-within":10,"drain-grace":2,"grace-to-answer":0.02,"cold-from":0.2,
           "warm-within":10,"overload-factor":3,"overload-for":2},
          "services":[{"name":"read","slo":0.5,"give-up":1.5,"effect":"retryable","group":"all"},
           {"name":"put","slo":0.5,"give-up":1.5,"effect":"dedup","group":"all",
            "repeat-window":5}]}}
        """
        .formatted(name, discovery.getPort(), 0x1f + number, socket, list, nodes, number);
  }
}
