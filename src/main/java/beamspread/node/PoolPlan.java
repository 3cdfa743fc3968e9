package beamspread.node;

import beamspread.model.Settings;
import beamspread.pool.PoolSettings;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The bounds of connections to cache servers: from what the platform tells a node, and from the
 * operators' file where there is one ({@code pool_file} in the configuration, see {@code
 * deploy/pool.json}). Checked whole, so that a file with a fault changes nothing.
 */
final class PoolPlan {
  /**
   * Descriptors kept for files and pipes of the virtual machine, the selector, discovery, and
   * sockets that were closed and are not yet released.
   */
  private static final int OWN_DESCRIPTORS = 56;

  /** The part of the other descriptors that connections to cache servers may take. */
  private static final double SERVERS_PART = 0.4;

  /**
   * Connections to one server beyond these while others wait for their end: enough to learn whether
   * a silent server still runs, few enough that one which takes no more of them is not overrun.
   */
  private static final int LEAVING_CONNECTIONS = 2;

  /** Connections to all servers that may be coming up at a time. */
  private static final int OPENING = 64;

  /** How long an answer may be overdue at the least before nothing more waits behind it. */
  private static final double SUSPECT_SECONDS = 0.4;

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

  /** Descriptors that connections of clients and to servers share. */
  static int sockets(int descriptors) {
    return Math.max(32, descriptors - OWN_DESCRIPTORS);
  }

  /** Of these, those for cache servers. */
  static int serverSockets(int descriptors) {
    return (int) (SERVERS_PART * sockets(descriptors));
  }

  /**
   * The bounds for a node.
   *
   * @param file the operators' file, null for none
   * @throws WireException with all that is wrong with the file
   */
  static PoolSettings of(Settings settings, int descriptors, Message file) throws WireException {
    return new PoolPlan(file).read(settings, descriptors);
  }

  private PoolSettings read(Settings settings, int descriptors) throws WireException {
    if (file != null) {
      for (String name : file.names()) {
        if (!KEYS.contains(name)) {
          faults.add("unknown key '" + name + "'");
        }
      }
    }
    Settings.Limits limits = settings.limits();
    int most = serverSockets(descriptors);
    double tierPart = PoolSettings.shareOfNode(settings.instances());
    int connections = whole("connections", (int) Math.max(1, tierPart), most);
    // Where a request may not have two attempts out, one that is given up must be off its
    // connection before the next goes out: nothing may share it.
    int depth = limits.parallelAttempts() ? Math.max(1, limits.perConnection()) : 1;
    // Well before the server closes it, however soon that is.
    double idle = limits.idleTimeout() / 2;
    PoolSettings plan =
        new PoolSettings(
            connections,
            whole("leaving", LEAVING_CONNECTIONS, most),
            whole("streaming", connections, most),
            whole("depth", depth, depth),
            most,
            whole("opening_each", connections, most),
            whole("opening_all", OPENING, 1024),
            whole("spare", 0, most),
            figure("free_each", tierPart, Math.max(most, tierPart)),
            nanos("idle_s", idle, limits.idleTimeout()),
            nanos("age_s", 0, 86_400),
            nanos("suspect_s", SUSPECT_SECONDS, 60),
            nanos("cold_s", settings.contract().warmWithin(), 3600));
    faults.addAll(plan.validationErrors());
    if (!faults.isEmpty()) {
      throw new WireException(String.join("; ", faults));
    }
    return plan;
  }

  private double figure(String name, double absent, double most) {
    double value = file == null ? absent : file.number(name, absent);
    if (file != null && file.has(name) && Double.isNaN(file.number(name, Double.NaN))) {
      faults.add(name + " is no number");
    } else if (value > most) {
      faults.add(name + " must be " + number(most) + " at most here, is " + number(value));
    }
    return value;
  }

  private static String number(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }

  private int whole(String name, int absent, int most) {
    double value = figure(name, absent, Math.max(most, absent));
    if (value != Math.rint(value)) {
      faults.add(name + " must be a whole number, is " + value);
    }
    return (int) value;
  }

  private long nanos(String name, double absent, double most) {
    return (long) (figure(name, absent, Math.max(most, absent)) * 1e9);
  }
}
