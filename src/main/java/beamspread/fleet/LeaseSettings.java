package beamspread.fleet;

import beamspread.fleet.config.TomlFile;
import beamspread.lease.FencingToken;
import java.nio.file.Path;
import java.util.Set;

/**
 * Where the leases of work on a fleet are kept, the table {@code [lease]} of the inventory.
 *
 * @param fleet the fleet's name, by which its leases are told from others in the same store
 * @param durationNanos how long a lease lasts without being renewed
 * @param file a file of SQLite, for operators of one machine; null for PostgreSQL
 * @param url of a PostgreSQL database as JDBC has it; null for a file
 */
public record LeaseSettings(
    String fleet, long durationNanos, Path file, String url, String user, Path passwordFile) {
  private static final long USUAL_NANOS = 10_000_000_000L;

  static LeaseSettings read(TomlFile.Table table, Path base) {
    table.only(Set.of("fleet", "duration_s", "file", "url", "user", "password_file"));
    String fleet = table.text("fleet", "main");
    if (!FencingToken.isName(rolloutOf(fleet))) {
      table.fault("fleet", "'" + fleet + "' can't be part of a lease's name");
    }
    String file = table.text("file", null);
    String url = table.text("url", null);
    if ((file == null) == (url == null)) {
      table.fault("file", "either a file or a url is needed");
    }
    if (url != null && !url.startsWith("jdbc:postgresql:")) {
      table.fault("url", "'" + url + "' is no jdbc:postgresql: address");
    }
    if (url != null && !table.has("password_file")) {
      table.fault("password_file", "is missing");
    }
    return new LeaseSettings(
        fleet,
        table.seconds("duration_s", USUAL_NANOS, 1, 3600),
        file == null ? null : base.resolve(file),
        url,
        table.text("user", "beamspread"),
        Inventory.readable(table, base, "password_file"));
  }

  private static String rolloutOf(String fleet) {
    return "rollout/" + fleet;
  }

  /** The lease that the owner of the table of variants works under. */
  public static String variants(String fleet) {
    return "variants/" + fleet;
  }

  /** The lease that rollouts, resumes and drains of this fleet run under. */
  public String rollout() {
    return rolloutOf(fleet);
  }
}
