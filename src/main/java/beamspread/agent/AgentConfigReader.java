package beamspread.agent;

import beamspread.fleet.config.TomlFaults;
import beamspread.fleet.config.TomlFile;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Reads {@code agent.toml}: whole, or not at all. */
final class AgentConfigReader {
  private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

  private static final String HOST = "[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?";

  /** Longest path of a Unix domain socket, in bytes (unix(7)). */
  private static final int LONGEST_SOCKET = 107;

  private static final Set<String> INSTANCE_KEYS =
      Set.of(
          "name",
          "zone",
          "command",
          "folder",
          "config",
          "status_socket",
          "env",
          "limits",
          "autostart",
          "start_s",
          "settle_s",
          "stop_s",
          "reload_s",
          "backoff_first_s",
          "backoff_longest_s",
          "restarts",
          "window_s");

  private final Path base;

  private AgentConfigReader(Path base) {
    this.base = base;
  }

  /** Reads a file; paths in it are relative to its folder. */
  static AgentConfig read(Path file) throws TomlFaults {
    TomlFile toml = TomlFile.read(file);
    Path base = file.toAbsolutePath().getParent();
    AgentConfig config = new AgentConfigReader(base).read(toml.root());
    toml.finish();
    return config;
  }

  private AgentConfig read(TomlFile.Table root) {
    root.only(Set.of("name", "folder", "record", "api", "log", "defaults", "instance"));
    String name = name(root, "name");
    Path folder = path(root, "folder", "agent");
    TomlFile.Table defaults = root.table("defaults");
    defaults.only(INSTANCE_KEYS);
    for (String own : List.of("name", "config", "status_socket")) {
      if (defaults.has(own)) {
        defaults.fault(own, "belongs to one instance, not to the defaults");
      }
    }
    List<TomlFile.Table> tables = root.tables("instance");
    TomlFile.unique(tables, "name");
    TomlFile.unique(tables, "status_socket");
    List<AgentConfig.Instance> instances = new ArrayList<>();
    Timing timing = timing(defaults, Timing.usual());
    for (TomlFile.Table table : tables) {
      instances.add(instance(table, defaults, timing));
    }
    return new AgentConfig(
        name,
        folder,
        record(root.table("record"), folder),
        api(root.table("api")),
        log(root.table("log")),
        instances);
  }

  private static String name(TomlFile.Table table, String key) {
    String name = table.requiredText(key);
    if (!name.isBlank() && !name.matches(NAME)) {
      table.fault(key, "'" + name + "' is no name: letters, digits, '.', '_' and '-', at most 63");
    }
    return name;
  }

  private Path path(TomlFile.Table table, String key, String absent) {
    String text = table.text(key, absent);
    try {
      return text == null || text.isEmpty() ? null : base.resolve(text).normalize();
    } catch (InvalidPathException e) {
      table.fault(key, "is no path");
      return null;
    }
  }

  private AgentConfig.Record record(TomlFile.Table table, Path folder) {
    table.only(Set.of("file", "url", "user", "password_file", "keep"));
    String url = table.text("url", null);
    if (url != null) {
      if (!url.startsWith("jdbc:postgresql:")) {
        table.fault("url", "must begin with jdbc:postgresql:");
      }
      if (table.has("file")) {
        table.fault("file", "a record is in a file or at a url, not both");
      }
      table.requiredText("user");
      table.requiredText("password_file");
    }
    Path file = path(table, "file", null);
    Path password = path(table, "password_file", null);
    privateFile(table, "password_file", password);
    return new AgentConfig.Record(
        file != null || folder == null ? file : folder.resolve("record.db"),
        url,
        table.text("user", null),
        password,
        table.number("keep", 1000, 1, 100_000));
  }

  private AgentConfig.Api api(TomlFile.Table table) {
    table.only(Set.of("listen", "names", "token_file", "tls_certificate", "tls_key"));
    String listen = table.text("listen", "127.0.0.1:7400");
    int colon = listen.lastIndexOf(':');
    String host = colon < 0 ? "" : listen.substring(0, colon);
    int port = -1;
    byte[] ip = NetUtil.createByteArrayFromIpAddressString(host);
    try {
      port = Integer.parseInt(listen.substring(colon + 1));
    } catch (NumberFormatException e) {
      // Told below.
    }
    Path token = path(table, "token_file", null);
    Path certificate = path(table, "tls_certificate", null);
    Path key = path(table, "tls_key", null);
    privateFile(table, "token_file", token);
    privateFile(table, "tls_key", key);
    if ((certificate == null) != (key == null)) {
      table.fault(
          certificate == null ? "tls_key" : "tls_certificate",
          "tls_certificate and tls_key go together");
    }
    if (certificate != null && !Files.isReadable(certificate)) {
      table.fault("tls_certificate", certificate + " cannot be read");
    }
    if (ip == null || port < 0 || port > 65535) {
      table.fault("listen", "'" + listen + "' is no IP address and port");
    } else if (!loopback(ip) && (token == null || certificate == null)) {
      table.fault(
          "listen",
          "beyond loopback a token_file, a tls_certificate and a tls_key are needed: " + listen);
    }
    List<String> names = table.texts("names");
    for (String name : names) {
      if (!name.matches(HOST)) {
        table.fault("names", "'" + name + "' is no host name");
      }
    }
    return new AgentConfig.Api(host, port, names, token, certificate, key);
  }

  private AgentLog log(TomlFile.Table table) {
    table.only(Set.of("format", "file", "file_mb", "files"));
    String format = table.text("format", "text");
    if (!format.equals("text") && !format.equals("json")) {
      table.fault("format", "'" + format + "' is neither text nor json");
    }
    return new AgentLog(
        format.equals("json"),
        path(table, "file", null),
        table.number("file_mb", 10, 1, 1000),
        table.number("files", 5, 1, 100));
  }

  private static boolean loopback(byte[] ip) {
    try {
      return InetAddress.getByAddress(ip).isLoopbackAddress();
    } catch (IOException e) {
      return false;
    }
  }

  /** What nobody else may read must be there, and be so. */
  private static void privateFile(TomlFile.Table table, String key, Path file) {
    if (file == null) {
      return;
    }
    try {
      Set<PosixFilePermission> rights = Files.getPosixFilePermissions(file);
      if (rights.contains(PosixFilePermission.GROUP_READ)
          || rights.contains(PosixFilePermission.OTHERS_READ)) {
        table.fault(key, file + " can be read by others: chmod 600 it");
      }
    } catch (IOException e) {
      table.fault(key, file + " cannot be read");
    }
  }

  private AgentConfig.Instance instance(
      TomlFile.Table table, TomlFile.Table defaults, Timing usual) {
    table.only(INSTANCE_KEYS);
    String name = name(table, "name");
    List<String> command = new ArrayList<>(table.texts("command"));
    if (!table.has("command")) {
      command.addAll(defaults.texts("command"));
    }
    if (command.isEmpty()) {
      table.fault("command", "is missing, here and in the defaults");
    }
    Path socket = path(table, "status_socket", null);
    if (socket != null && socket.toString().getBytes().length > LONGEST_SOCKET) {
      table.fault("status_socket", "is longer than " + LONGEST_SOCKET + " bytes: " + socket);
    }
    Map<String, String> environment = new TreeMap<>(defaults.textMap("env"));
    environment.putAll(table.textMap("env"));
    Path folder = path(table, "folder", defaults.text("folder", "."));
    if (folder != null && !Files.isDirectory(folder)) {
      table.fault("folder", folder + " is no folder");
    }
    TomlFile.Table limits = (table.has("limits") ? table : defaults).table("limits");
    limits.only(Set.of("descriptors"));
    return new AgentConfig.Instance(
        name,
        table.text("zone", defaults.text("zone", "")),
        command,
        folder,
        path(table, "config", null),
        socket,
        environment,
        limits.number("descriptors", 0, 16, 1 << 20),
        table.flag("autostart", defaults.flag("autostart", true)),
        timing(table, usual),
        table.has("stop_s") || defaults.has("stop_s"));
  }

  private static Timing timing(TomlFile.Table table, Timing usual) {
    Timing timing =
        new Timing(
            table.seconds("start_s", usual.start(), 0.1, 3600),
            table.seconds("settle_s", usual.settle(), 0, 3600),
            table.seconds("stop_s", usual.stop(), 0, 3600),
            table.seconds("reload_s", usual.reload(), 0.1, 3600),
            usual.look(),
            usual.idleLook(),
            table.seconds("backoff_first_s", usual.backoffFirst(), 0.01, 3600),
            table.seconds("backoff_longest_s", usual.backoffLongest(), 0.01, 86_400),
            table.number("restarts", usual.exits(), 0, 1000),
            table.seconds("window_s", usual.window(), 1, 86_400));
    if (timing.backoffFirst() > timing.backoffLongest()) {
      table.fault("backoff_first_s", "is longer than backoff_longest_s");
    }
    return timing;
  }
}
