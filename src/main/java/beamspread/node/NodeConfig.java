package beamspread.node;

import beamspread.model.Settings;
import beamspread.node.discovery.MemberList;
import beamspread.node.tier.TierConfig;
import beamspread.node.variants.VariantFileReader;
import beamspread.node.variants.VariantPart;
import beamspread.pool.PoolSettings;
import beamspread.sim.Dialect;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import beamspread.tier.MemberInfo;
import beamspread.tier.TierSettings;
import beamspread.variants.VariantFile;
import beamspread.variants.VariantRule;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

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
 * @param told the text that the settings were read from; null if they were not read
 * @param pool what bounds the connections to cache servers
 * @param name the node's name, for its log
 * @param jsonLog whether its log is one JSON object a line
 * @param statusSocket the file of the Unix domain socket on which the node tells its status; null
 *     for none
 * @param management where operators call, null for nowhere
 * @param tier its part in the membership of its tier, null for none
 * @param variants its part in variant keys, null for none
 */
record NodeConfig(
    SocketAddress listen,
    SocketAddress discovery,
    long seed,
    int sockets,
    int memoryMb,
    MemberList known,
    Settings settings,
    Message told,
    PoolSettings pool,
    String name,
    boolean jsonLog,
    String statusSocket,
    Management management,
    TierConfig tier,
    VariantPart variants) {

  /**
   * The part of the descriptors that open requests may take: three quarters of what clients hold at
   * most. Guards against a jam in which those who wait hold every connection: who comes then is not
   * even refused. It could do harm where answers take long and nothing is wrong with that.
   */
  private static final int OPEN_PART = 4;

  /** What other members are told that this one runs. */
  private static final String VERSION = "0.1.0";

  /**
   * Where operators call this node, and what its processes share.
   *
   * @param listen the second address
   * @param token what callers must name to change anything, null for nothing
   * @param folder what two processes of this node share, null for none
   */
  record Management(SocketAddress listen, String token, Path folder) {}

  /** The bytes of the file of this name, usually from {@code ROUTER_CONFIG}. */
  static byte[] read(String file) throws WireException {
    if (file == null || file.isEmpty()) {
      throw new WireException("ROUTER_CONFIG does not name a file");
    }
    try {
      return Files.readAllBytes(Path.of(file));
    } catch (IOException | InvalidPathException | SecurityException e) {
      throw new WireException("cannot read " + file);
    }
  }

  /** Takes what was read from the file of this name. */
  static NodeConfig load(String file, byte[] bytes) throws WireException {
    try {
      return parse(Message.parse(new String(bytes, StandardCharsets.UTF_8)));
    } catch (WireException e) {
      throw new WireException(file + ": " + e.getMessage());
    }
  }

  static NodeConfig parse(Message config) throws WireException {
    Message limits = config.requiredNested("limits");
    Message told = config.requiredNested("settings");
    Settings settings = Dialect.settings(told);
    MemberList known = MemberList.parse(config.requiredNested("known"));
    if (!known.faults().isEmpty()) {
      throw new WireException("known: " + String.join("; ", known.faults()));
    }
    List<String> faults = SettingsCheck.faults(told);
    if (!faults.isEmpty()) {
      throw new WireException("settings: " + String.join("; ", faults));
    }
    int sockets = (int) limits.requiredNumber("sockets");
    settings = settings.with(settings.limits().open(Math.max(8, sockets / OPEN_PART)));
    return new NodeConfig(
        MemberList.listenAddress(config.requiredText("listen")),
        MemberList.address(config.requiredText("discovery")),
        seed(config.requiredText("seed")),
        sockets,
        (int) limits.requiredNumber("memory_mb"),
        known,
        settings,
        told,
        pool(settings, sockets, config.text("pool_file", null)),
        config.text("name", "node"),
        jsonLog(config.text("log_format", "text")),
        config.text("status_socket", null),
        management(config),
        tier(config, settings),
        variants(config, settings));
  }

  /** Where the platform lets nodes talk and the operators' file says so; else null. */
  private static TierConfig tier(Message config, Settings settings) throws WireException {
    String file = config.text("tier_file", null);
    if (file == null) {
      return null;
    }
    if (!config.has("peer_listen") || !config.has("peers")) {
      throw new WireException(
          "tier_file: nodes may not talk here, since peer_listen and peers are not given");
    }
    TierSettings of;
    try {
      of = TierConfig.settings(Message.parse(new String(read(file), StandardCharsets.UTF_8)));
    } catch (WireException e) {
      throw new WireException("tier_file " + file + ": " + e.getMessage());
    }
    List<InetSocketAddress> peers = new ArrayList<>();
    for (String peer : config.texts("peers")) {
      try {
        peers.add(MemberList.address(peer));
      } catch (WireException e) {
        throw new WireException("peers: " + e.getMessage());
      }
    }
    if (settings.number() < 0 || settings.number() >= peers.size()) {
      throw new WireException(
          "peers: has " + peers.size() + " addresses and none for number " + settings.number());
    }
    InetSocketAddress listen;
    MemberInfo card;
    try {
      listen = MemberList.listenAddress(config.requiredText("peer_listen"));
      card = new MemberInfo(config.text("name", "node"), settings.zone(), VERSION);
    } catch (WireException e) {
      throw new WireException("peer_listen: " + e.getMessage());
    } catch (IllegalArgumentException e) {
      throw new WireException("tier_file: " + e.getMessage());
    }
    return new TierConfig(listen, peers, settings.number(), card, of, management(config) != null);
  }

  /** Where the operators' file says which keys are variants of one another; else null. */
  private static VariantPart variants(Message config, Settings settings) throws WireException {
    String file = config.text("variants_file", null);
    if (file == null) {
      return null;
    }
    VariantFile read;
    try {
      read = VariantFileReader.read(new String(read(file), StandardCharsets.UTF_8));
      for (VariantRule rule : read.rules().all()) {
        checkReads(rule, settings);
      }
    } catch (WireException e) {
      throw new WireException("variants_file " + file + ": " + e.getMessage());
    }
    SocketAddress agent;
    try {
      agent = MemberList.address(config.requiredText("variants_agent"));
    } catch (WireException e) {
      throw new WireException("variants_agent: " + e.getMessage());
    }
    return new VariantPart(read, agent, token(config, "variants_token_file"));
  }

  /** Only requests whose effect may be repeated may be asked under another key. */
  private static void checkReads(VariantRule rule, Settings settings) throws WireException {
    for (String request : rule.requestClasses()) {
      if (settings.services().stream()
          .noneMatch(
              service ->
                  service.name().equals(request) && service.effect() == Settings.Effect.SAFE)) {
        throw new WireException(
            "rule " + rule.prefix() + ": '" + request + "' is no class of requests that only read");
      }
    }
  }

  private static Management management(Message config) throws WireException {
    String listen = config.text("mgmt", System.getenv("ROUTER_MGMT"));
    if (listen == null || listen.isEmpty()) {
      return null;
    }
    SocketAddress address;
    try {
      address = MemberList.listenAddress(listen);
    } catch (WireException e) {
      throw new WireException("mgmt: " + e.getMessage());
    }
    return new Management(
        address,
        token(config, "mgmt_token_file"),
        folder(config.text("name", "node"), config.text("state_folder", null)));
  }

  /** The token in the file that a field names; null where it names none. */
  private static String token(Message config, String field) throws WireException {
    String file = config.text(field, null);
    if (file == null) {
      return null;
    }
    String token = new String(read(file), StandardCharsets.UTF_8).strip();
    if (token.isEmpty()) {
      throw new WireException(field + " " + file + " is empty");
    }
    return token;
  }

  /** Several nodes may share a folder for temporary files, so that the name tells them apart. */
  private static Path folder(String name, String configured) throws WireException {
    String temporary = System.getenv("TMPDIR");
    try {
      if (configured != null) {
        return Path.of(configured);
      }
      return temporary == null || temporary.isEmpty()
          ? null
          : Path.of(temporary, "beamspread-" + name.replaceAll("[^A-Za-z0-9._-]", "_"));
    } catch (InvalidPathException e) {
      throw new WireException("state_folder '" + configured + "' is not a path");
    }
  }

  /** What the operators' file says of connections to cache servers, if there is one. */
  private static PoolSettings pool(Settings settings, int sockets, String file)
      throws WireException {
    if (file == null) {
      return PoolPlan.of(settings, sockets, null);
    }
    byte[] bytes = read(file);
    try {
      return PoolPlan.of(
          settings, sockets, Message.parse(new String(bytes, StandardCharsets.UTF_8)));
    } catch (WireException e) {
      throw new WireException("pool_file " + file + ": " + e.getMessage());
    }
  }

  private static boolean jsonLog(String format) throws WireException {
    if (!format.equals("text") && !format.equals("json")) {
      throw new WireException("log_format '" + format + "' is neither text nor json");
    }
    return format.equals("json");
  }

  private static long seed(String text) throws WireException {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new WireException("seed '" + text + "' is not hexadecimal");
    }
  }

  /**
   * Whether a node that was started with another configuration takes this one over in part only.
   */
  boolean needsRestart(NodeConfig started) {
    // Not the settings themselves: a record's first comparison makes a hundred classes, and a
    // reload
    // under load on a part of a core would stand still for a fifth of a second.
    return !Objects.equals(told, started.told)
        || !listen.equals(started.listen)
        || sockets != started.sockets
        || memoryMb != started.memoryMb
        || jsonLog != started.jsonLog
        || !Objects.equals(statusSocket, started.statusSocket)
        || !Objects.equals(
            tier == null ? null : tier.settings(),
            started.tier == null ? null : started.tier.settings())
        || (variants == null) != (started.variants == null)
        || !Objects.equals(
            management == null ? null : management.listen,
            started.management == null ? null : started.management.listen);
  }

  /** The longest time that a client may wait, in seconds. */
  double longestDeadline() {
    return settings.services().stream()
        .mapToDouble(Settings.ServiceClass::deadline)
        .max()
        .orElseThrow();
  }
}
