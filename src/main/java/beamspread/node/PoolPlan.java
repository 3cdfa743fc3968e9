package beamspread.node;

import beamspread.model.Settings;
import beamspread.pool.PoolSettings;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Computes the bounds on connections to cache servers from the node's limits and settings, and from
 * the operators' file if there is one ({@code pool_file} in the configuration, see {@code
 * deploy/pool.json}). The file is checked as a whole, so that a file with a fault changes nothing.
 */
final class PoolPlan {
  /**
   * Descriptors reserved for files and pipes of the JVM, the selector, discovery, and sockets that
   * are closed but not yet released.
   */
  private static final int RESERVED_DESCRIPTORS = 56;

  /** Share of the other descriptors that connections to cache servers may use. */
  private static final double SERVER_SOCKET_SHARE = 0.4;

  /**
   * Further connections to one server while others are closing: enough to find out whether a silent
   * server still runs, few enough not to flood one that accepts no more connections.
   */
  private static final int LEAVING_CONNECTIONS_PER_SERVER = 2;

  /** Connections to all servers together that may be in the process of connecting. */
  private static final int MAX_CONNECTING = 64;

  /**
   * Minimum time by which a reply must be overdue before no further request is queued behind it.
   */
  private static final double MIN_SUSPECT_SECONDS = 0.4;

  private static final Set<String> KEYS =
      Set.of(
          "connections",
          "leaving",
          "streaming",
          "depth",
          "opening_each",
          "opening_all",
          "spare",
          "free_each",
          "idle_s",
          "age_s",
          "suspect_s",
          "cold_s");

  private final Message file;
  private final List<String> faults = new ArrayList<>();

  private PoolPlan(Message file) {
    this.file = file;
  }

  /** Returns the descriptors that connections of clients and to cache servers share. */
  static int sockets(int descriptors) {
    return Math.max(32, descriptors - RESERVED_DESCRIPTORS);
  }

  /** Returns those of them for cache servers. */
  static int serverSockets(int descriptors) {
    return (int) (SERVER_SOCKET_SHARE * sockets(descriptors));
  }

  /**
   * Returns the bounds for a node.
   *
   * @param file the operators' file, null for none
   * @throws WireException with all faults of the file
   */
  static PoolSettings of(Settings settings, int descriptors, Message file) throws WireException {
    return new PoolPlan(file).build(settings, descriptors);
  }

  private PoolSettings build(Settings settings, int descriptors) throws WireException {
    if (file != null) {
      for (String name : file.names()) {
        if (!KEYS.contains(name)) {
          faults.add("unknown key '" + name + "'");
        }
      }
    }
    Settings.Limits limits = settings.limits();
    int maxSockets = serverSockets(descriptors);
    double tierPart = PoolSettings.shareOfNode(settings.instances());
    int connections = readInteger("connections", (int) Math.max(1, tierPart), maxSockets);
    // If a request may not have two attempts in flight, an abandoned attempt must have left its
    // connection before the next is sent, so nothing may share the connection.
    int depth = limits.parallelAttempts() ? Math.max(1, limits.attemptsPerConnection()) : 1;
    // Well before the server closes it, however short its idle timeout is.
    double idleSeconds = limits.idleTimeout() / 2;
    PoolSettings poolSettings =
        new PoolSettings(
            connections,
            readInteger("leaving", LEAVING_CONNECTIONS_PER_SERVER, maxSockets),
            readInteger("streaming", connections, maxSockets),
            readInteger("depth", depth, depth),
            maxSockets,
            readInteger("opening_each", connections, maxSockets),
            readInteger("opening_all", MAX_CONNECTING, 1024),
            readInteger("spare", 0, maxSockets),
            readNumber("free_each", tierPart, Math.max(maxSockets, tierPart)),
            readNanos("idle_s", idleSeconds, limits.idleTimeout()),
            readNanos("age_s", 0, 86_400),
            readNanos("suspect_s", MIN_SUSPECT_SECONDS, 60),
            readNanos("cold_s", settings.contract().warmWithin(), 3600));
    faults.addAll(poolSettings.validationErrors());
    if (!faults.isEmpty()) {
      throw new WireException(String.join("; ", faults));
    }
    return poolSettings;
  }

  private double readNumber(String name, double defaultValue, double max) {
    double value = file == null ? defaultValue : file.number(name, defaultValue);
    if (file != null && file.has(name) && Double.isNaN(file.number(name, Double.NaN))) {
      faults.add(name + " is not a number");
    } else if (value > max) {
      faults.add(name + " must be " + format(max) + " at most here, is " + format(value));
    }
    return value;
  }

  private static String format(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }

  private int readInteger(String name, int defaultValue, int max) {
    double value = readNumber(name, defaultValue, Math.max(max, defaultValue));
    if (value != Math.rint(value)) {
      faults.add(name + " must be a whole number, is " + value);
    }
    return (int) value;
  }

  private long readNanos(String name, double defaultSeconds, double maxSeconds) {
    return (long) (readNumber(name, defaultSeconds, Math.max(maxSeconds, defaultSeconds)) * 1e9);
  }
}
