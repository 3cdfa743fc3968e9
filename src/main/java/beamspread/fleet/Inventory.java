package beamspread.fleet;

import beamspread.fleet.config.TomlFaults;
import beamspread.fleet.config.TomlFile;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The agents of a fleet.
 *
 * @param agents in the order of the file
 * @param answerNanos how long an agent may take to answer a call
 * @param patienceNanos how long an agent may be away in the middle of an operation
 * @param lease where the leases of work on the fleet are kept; null where there are none
 */
public record Inventory(
    List<AgentEntry> agents, long answerNanos, long patienceNanos, LeaseSettings lease) {

  /** Without leases. */
  public Inventory(List<AgentEntry> agents, long answerNanos, long patienceNanos) {
    this(agents, answerNanos, patienceNanos, null);
  }

  /**
   * An agent.
   *
   * @param tokenFile the file of its token; null for none
   * @param caFile the file of the certificates that it is trusted by; null for the usual ones
   */
  public record AgentEntry(String name, URI url, Path tokenFile, Path caFile) {}

  /** Reads a file: whole, or not at all. */
  public static Inventory read(Path file) throws TomlFaults {
    TomlFile toml = TomlFile.read(file);
    Path base = file.toAbsolutePath().getParent();
    TomlFile.Table root = toml.root();
    root.only(Set.of("agent", "answer_s", "patience_s", "lease"));
    List<TomlFile.Table> tables = root.tables("agent");
    if (tables.isEmpty()) {
      root.fault("agent", "no [[agent]] is named");
    }
    TomlFile.unique(tables, "name");
    TomlFile.unique(tables, "url");
    List<AgentEntry> agents = new ArrayList<>();
    for (TomlFile.Table table : tables) {
      table.only(Set.of("name", "url", "token_file", "ca_file"));
      agents.add(
          new AgentEntry(
              table.requiredText("name"),
              url(table),
              readable(table, base, "token_file"),
              readable(table, base, "ca_file")));
    }
    Inventory inventory =
        new Inventory(
            List.copyOf(agents),
            root.seconds("answer_s", 5_000_000_000L, 0.1, 600),
            root.seconds("patience_s", 30_000_000_000L, 0, 3600),
            root.has("lease") ? LeaseSettings.read(root.table("lease"), base) : null);
    toml.finish();
    return inventory;
  }

  private static URI url(TomlFile.Table table) {
    String text = table.requiredText("url");
    try {
      URI url = new URI(text);
      boolean plain = "http".equals(url.getScheme());
      if (text.isBlank() || (plain || "https".equals(url.getScheme())) && url.getHost() != null) {
        return url;
      }
    } catch (URISyntaxException e) {
      // Told below.
    }
    table.fault("url", "'" + text + "' is no http:// or https:// address");
    return URI.create("http://invalid/");
  }

  static Path readable(TomlFile.Table table, Path base, String key) {
    String text = table.text(key, null);
    if (text == null) {
      return null;
    }
    Path file = base.resolve(text);
    if (!Files.isReadable(file)) {
      table.fault(key, file + " cannot be read");
    }
    return file;
  }
}
