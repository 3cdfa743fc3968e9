package beamspread.node;

import beamspread.model.Settings;
import beamspread.node.discovery.MemberList;
import beamspread.node.tier.TierConfig;
import beamspread.node.variants.VariantConfig;
import beamspread.node.variants.VariantFileReader;
import beamspread.pool.PoolSettings;
import beamspread.sim.Message;
import beamspread.sim.MessageConverter;
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
 * The configuration of a node, as the platform provides it.
 *
 * @param listen the address for clients
 * @param discovery the address of discovery
 * @param seed for random numbers
 * @param sockets file descriptors that the process may hold
 * @param memoryMb memory that the process may hold
 * @param knownList the list of servers as this node last had it
 * @param settings the settings, the same object that an instance in the simulator receives
 * @param settingsText the text that the settings were read from; null if they were not read
 * @param pool the bounds on connections to cache servers
 * @param name the node's name, for its log
 * @param jsonLog whether its log is one JSON object a line
 * @param statusSocket the file of the Unix domain socket on which the node reports its status; null
 *     for none
 * @param management the calls of operators, null for none
 * @param tier its membership of its tier, null for none
 * @param variants its use of variant keys, null for none
 */
record NodeConfig(
    SocketAddress listen,
    SocketAddress discovery,
    long seed,
    int sockets,
    int memoryMb,
    MemberList knownList,
    Settings settings,
    Message settingsText,
    PoolSettings pool,
    String name,
    boolean jsonLog,
    String statusSocket,
    Management management,
    TierConfig tier,
    VariantConfig variants) {

  /**
   * Divisor of the descriptors that yields the limit on open requests: a quarter of them, which is
   * three quarters of what clients hold at most. Without the limit, waiting requests could hold
   * every connection, and new clients would not even be refused. It could do harm where answers
   * normally take long.
   */
  private static final int OPEN_REQUESTS_DIVISOR = 4;

  /** The version that other members of the tier see. */
  private static final String ADVERTISED_VERSION = "0.1.0";

  /**
   * The calls of operators, and the folder that the processes of this node share.
   *
   * @param listen the address for operators
   * @param token what callers must present to change anything, null for nothing
   * @param folder shared by two processes of this node, null for none
   */
  record Management(SocketAddress listen, String token, Path folder) {}

  /** Reads the configuration file, usually the one that {@code ROUTER_CONFIG} names. */
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

  /** Parses the bytes of the configuration file; errors name the file. */
  static NodeConfig load(String file, byte[] bytes) throws WireException {
    try {
      return parse(Message.parse(new String(bytes, StandardCharsets.UTF_8)));
    } catch (WireException e) {
      throw new WireException(file + ": " + e.getMessage());
    }
  }

  static NodeConfig parse(Message config) throws WireException {
    Message limits = config.requiredNested("limits");
    Message settingsText = config.requiredNested("settings");
    Settings settings = MessageConverter.settings(settingsText);
    MemberList knownList = MemberList.parse(config.requiredNested("known"));
    if (!knownList.faults().isEmpty()) {
      throw new WireException("known: " + String.join("; ", knownList.faults()));
    }
    List<String> faults = SettingsCheck.faults(settingsText);
    if (!faults.isEmpty()) {
      throw new WireException("settings: " + String.join("; ", faults));
    }
    int sockets = (int) limits.requiredNumber("sockets");
    settings =
        settings.withLimits(
            settings.limits().withMaxOpen(Math.max(8, sockets / OPEN_REQUESTS_DIVISOR)));
    return new NodeConfig(
        MemberList.parseListenAddress(config.requiredText("listen")),
        MemberList.parseAddress(config.requiredText("discovery")),
        seed(config.requiredText("seed")),
        sockets,
        (int) limits.requiredNumber("memory_mb"),
        knownList,
        settings,
        settingsText,
        pool(settings, sockets, config.text("pool_file", null)),
        config.text("name", "node"),
        jsonLog(config.text("log_format", "text")),
        config.text("status_socket", null),
        management(config),
        tier(config, settings),
        variants(config, settings));
  }

  /**
   * Returns the tier membership if the platform provides peer addresses and {@code tier_file} is
   * set; else null.
   */
  private static TierConfig tier(Message config, Settings settings) throws WireException {
    String file = config.text("tier_file", null);
    if (file == null) {
      return null;
    }
    if (!config.has("peer_listen") || !config.has("peers")) {
      throw new WireException(
          "tier_file: nodes may not talk here, because peer_listen and peers are not set");
    }
    TierSettings tierSettings;
    try {
      tierSettings =
          TierConfig.settings(Message.parse(new String(read(file), StandardCharsets.UTF_8)));
    } catch (WireException e) {
      throw new WireException("tier_file " + file + ": " + e.getMessage());
    }
    List<InetSocketAddress> peers = new ArrayList<>();
    for (String peer : config.texts("peers")) {
      try {
        peers.add(MemberList.parseAddress(peer));
      } catch (WireException e) {
        throw new WireException("peers: " + e.getMessage());
      }
    }
    if (settings.instanceNumber() < 0 || settings.instanceNumber() >= peers.size()) {
      throw new WireException(
          "peers: has "
              + peers.size()
              + " addresses and none for number "
              + settings.instanceNumber());
    }
    InetSocketAddress listen;
    MemberInfo card;
    try {
      listen = MemberList.parseListenAddress(config.requiredText("peer_listen"));
      card = new MemberInfo(config.text("name", "node"), settings.zone(), ADVERTISED_VERSION);
    } catch (WireException e) {
      throw new WireException("peer_listen: " + e.getMessage());
    } catch (IllegalArgumentException e) {
      throw new WireException("tier_file: " + e.getMessage());
    }
    return new TierConfig(
        listen, peers, settings.instanceNumber(), card, tierSettings, management(config) != null);
  }

  /** Returns the rules for variant keys if {@code variants_file} is set; else null. */
  private static VariantConfig variants(Message config, Settings settings) throws WireException {
    String file = config.text("variants_file", null);
    if (file == null) {
      return null;
    }
    VariantFile variantFile;
    try {
      variantFile = VariantFileReader.read(new String(read(file), StandardCharsets.UTF_8));
      for (VariantRule rule : variantFile.rules().all()) {
        requireSafeRequests(rule, settings);
      }
    } catch (WireException e) {
      throw new WireException("variants_file " + file + ": " + e.getMessage());
    }
    SocketAddress agent;
    try {
      agent = MemberList.parseAddress(config.requiredText("variants_agent"));
    } catch (WireException e) {
      throw new WireException("variants_agent: " + e.getMessage());
    }
    return new VariantConfig(variantFile, agent, readToken(config, "variants_token_file"));
  }

  /** Rejects rules for requests other than safe ones: only those may be sent under another key. */
  private static void requireSafeRequests(VariantRule rule, Settings settings)
      throws WireException {
    for (String request : rule.requestClasses()) {
      if (settings.services().stream()
          .noneMatch(
              service ->
                  service.name().equals(request) && service.effect() == Settings.Effect.SAFE)) {
        throw new WireException(
            "rule " + rule.prefix() + ": '" + request + "' is not a class of read-only requests");
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
      address = MemberList.parseListenAddress(listen);
    } catch (WireException e) {
      throw new WireException("mgmt: " + e.getMessage());
    }
    return new Management(
        address,
        readToken(config, "mgmt_token_file"),
        stateFolder(config.text("name", "node"), config.text("state_folder", null)));
  }

  /** Returns the token in the file that a field names; null if it names none. */
  private static String readToken(Message config, String field) throws WireException {
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

  /**
   * Returns the folder for state. Several nodes may share a folder for temporary files, so the
   * node's name is part of the path.
   */
  private static Path stateFolder(String name, String configured) throws WireException {
    String temporaryFolder = System.getenv("TMPDIR");
    try {
      if (configured != null) {
        return Path.of(configured);
      }
      return temporaryFolder == null || temporaryFolder.isEmpty()
          ? null
          : Path.of(temporaryFolder, "beamspread-" + name.replaceAll("[^A-Za-z0-9._-]", "_"));
    } catch (InvalidPathException e) {
      throw new WireException("state_folder '" + configured + "' is not a path");
    }
  }

  /** Returns the bounds on connections to cache servers, from {@code pool_file} if it is set. */
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
   * Returns whether a node that was started with another configuration can apply this one only in
   * part.
   */
  boolean needsRestart(NodeConfig running) {
    // Compares the text instead of the settings: the first comparison of records generates a
    // hundred classes, and a reload under load on a fraction of a core would stall the event loop
    // for a fifth of a second.
    return !Objects.equals(settingsText, running.settingsText)
        || !listen.equals(running.listen)
        || sockets != running.sockets
        || memoryMb != running.memoryMb
        || jsonLog != running.jsonLog
        || !Objects.equals(statusSocket, running.statusSocket)
        || !Objects.equals(
            tier == null ? null : tier.settings(),
            running.tier == null ? null : running.tier.settings())
        || (variants == null) != (running.variants == null)
        || !Objects.equals(
            management == null ? null : management.listen,
            running.management == null ? null : running.management.listen);
  }

  /** Returns the longest deadline of all classes, in seconds. */
  double longestDeadline() {
    return settings.services().stream()
        .mapToDouble(Settings.ServiceClass::deadline)
        .max()
        .orElseThrow();
  }
}
