package beamspread.replay;

import beamspread.fleet.api.Json;
import beamspread.lab.Fleet;
import beamspread.model.Settings;
import beamspread.pool.PoolSettings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What a real node is told so that it works as the model's does. */
final class NodeText {
  /** Descriptors of a node, of which a quarter are requests that it may have open. */
  private static final int SOCKETS = 4 * 1024;

  private NodeText() {}

  /** The node's configuration; the whole list is in it, as a node that has run before has it. */
  static String config(
      Fleet fleet, int number, long seed, InetSocketAddress discovery, Map<String, Object> list) {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("name", "n" + number);
    all.put("listen", "127.0.0.1:0");
    all.put("discovery", address(discovery));
    all.put("seed", Long.toHexString(seed * 1000 + number));
    all.put("limits", Map.of("cores", 1, "memory_mb", 64, "sockets", SOCKETS));
    all.put("known", list);
    all.put("settings", settings(fleet.settings(number)));
    return Json.text(all);
  }

  /** One server of the list. */
  static Map<String, Object> server(
      String id,
      InetSocketAddress address,
      String zone,
      Fleet.BoxKind kind,
      long startedMillis,
      String state) {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("id", id);
    line.put("addr", address(address));
    line.put("zone", zone);
    line.put("kind", kind.name());
    line.put("state", state);
    line.put("weight", kind.cores() * kind.speed());
    if (startedMillis > 0) {
      line.put("started_ms", startedMillis);
    }
    return line;
  }

  private static String address(InetSocketAddress address) {
    return "127.0.0.1:" + address.getPort();
  }

  /** The bounds of its connections. */
  static String pool(Fleet fleet) {
    PoolSettings pool = fleet.poolSettings();
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("connections", pool.connectionsPerServer());
    all.put("leaving", pool.extraWhileRetiring());
    all.put("streaming", pool.extraWhileStreaming());
    all.put("depth", pool.multiplexingDepth());
    all.put("opening_each", pool.openingPerServer());
    all.put("opening_all", pool.openingTotal());
    all.put("spare", pool.spareConnections());
    all.put("idle_s", pool.idleTimeoutNanos() / 1e9);
    all.put("age_s", pool.maxAgeNanos() / 1e9);
    all.put("suspect_s", pool.suspectAfterNanos() / 1e9);
    all.put("cold_s", pool.coldPeriodNanos() / 1e9);
    return Json.text(all);
  }

  /** The words for settings that {@code sim.MessageConverter} reads back. */
  static Map<String, Object> settings(Settings settings) {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("zone", settings.zone());
    all.put("azs", settings.zones());
    all.put("kinds", settings.kinds());
    all.put("instances", settings.instances());
    all.put("my-number", settings.instanceNumber());
    all.put("discovery", settings.callsForList() ? "ask" : "push");
    all.put(
        "weight-kind",
        settings.weights() == Settings.Weights.NONE
            ? "silent"
            : settings.weights().name().toLowerCase(Locale.ROOT));
    all.put("period", settings.tickSeconds());
    all.put("over-share-worth", settings.overShareWorth());
    Settings.Limits limits = settings.limits();
    Map<String, Object> caps = new LinkedHashMap<>();
    caps.put("attempts-cap", limits.maxAttempts());
    caps.put("parallel-tries", limits.parallelAttempts());
    caps.put("cancel", limits.mayCancel());
    caps.put("probing", limits.mayProbe());
    caps.put("may-tell", limits.mayMessagePeers());
    caps.put("retry-after", limits.advisesRetryAfter());
    caps.put("max-retry-after", limits.maxRetryAfter());
    caps.put("connect-timeout", limits.connectTimeout());
    caps.put("conn-idle", limits.idleTimeout());
    caps.put("multiplex", limits.attemptsPerConnection());
    caps.put("open-cap", limits.maxOpen());
    all.put("caps", caps);
    Settings.Contract contract = settings.contract();
    Map<String, Object> promises = new LinkedHashMap<>();
    promises.put("grace-to-answer", contract.answerGrace());
    promises.put("ask-within", contract.callWithin());
    promises.put("drain-grace", contract.drainGrace());
    promises.put("cold-from", contract.coldFrom());
    promises.put("warm-within", contract.warmWithin());
    promises.put("overload-factor", contract.overloadFactor());
    promises.put("overload-for", contract.overloadFor());
    all.put("contract", promises);
    List<Object> services = new ArrayList<>();
    settings.services().forEach(service -> services.add(service(service)));
    all.put("services", services);
    return all;
  }

  private static Map<String, Object> service(Settings.ServiceClass service) {
    Map<String, Object> words = new LinkedHashMap<>();
    words.put("name", service.name());
    words.put("slo", service.aim());
    words.put("aim-stretch", service.aimStretch());
    words.put("give-up", service.deadline());
    words.put("credit", service.worth());
    words.put("late-share", service.lateShare());
    words.put(
        "effect",
        switch (service.effect()) {
          case SAFE -> "retryable";
          case KEYED -> "dedup";
          case UNSAFE -> "fragile";
        });
    words.put("group", service.group().name().toLowerCase(Locale.ROOT));
    words.put("repeat-window", service.repeatWindow());
    words.put("streamed", service.streamed());
    return words;
  }
}
