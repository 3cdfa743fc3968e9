package beamspread.sim;

import beamspread.model.LoadReport;
import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Request;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.List;

/** Converts messages of the simulator's protocol into values of the model. */
public final class MessageConverter {
  private MessageConverter() {}

  /** Reads an instance's settings; the simulator and the node use the same format. */
  public static Settings settings(Message configuration) throws WireException {
    Message caps = configuration.nested("caps");
    Message contract = configuration.nested("contract");
    Message prices = configuration.nested("prices");
    Message family = configuration.nested("family-info");
    List<String> kinds = configuration.texts("kinds");
    List<Settings.ServiceClass> services = new ArrayList<>();
    for (Message service : configuration.objects("services")) {
      services.add(serviceClass(service));
    }
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (Message tenant : configuration.objects("tenants")) {
      tenants.add(
          new Settings.Tenant(
              tenant.requiredText("name"),
              tenant.number("share", 0),
              tenant.number("quota-per-s", 0)));
    }
    int origin = (int) family.number("origin-kind", -1);
    return new Settings(
        configuration.text("zone", ""),
        configuration.texts("azs"),
        kinds,
        (int) configuration.number("my-number", 0),
        Math.max(1, (int) configuration.number("instances", 1)),
        configuration.text("discovery", "push").equals("ask"),
        switch (configuration.text("weight-kind", "silent")) {
          case "nominal" -> Settings.Weights.NOMINAL;
          case "rough" -> Settings.Weights.ROUGH;
          case "live" -> Settings.Weights.LIVE;
          default -> Settings.Weights.NONE;
        },
        new Settings.CacheMode(
            family.text("mode", "through").equals("aside"),
            origin >= 0 && origin < kinds.size() ? kinds.get(origin) : null,
            family.number("origin-fall-multiple", 0),
            family.number("origin-fall", 0)),
        new Settings.Limits(
            (int) caps.number("attempts-cap", 1),
            caps.flag("parallel-tries"),
            caps.flag("cancel"),
            caps.flag("probing"),
            caps.flag("may-tell"),
            caps.flag("retry-after"),
            caps.number("max-retry-after", 0),
            caps.number("connect-timeout", 0),
            caps.number("conn-idle", 0),
            (int) caps.number("multiplex", 1),
            (int) caps.number("open-cap", Integer.MAX_VALUE)),
        new Settings.Contract(
            contract.number("grace-to-answer", 0),
            contract.number("ask-within", 0),
            contract.number("drain-grace", 0),
            contract.number("cold-from", 0),
            contract.number("warm-within", 0),
            contract.number("overload-factor", 0),
            contract.number("overload-for", 0)),
        new Settings.Prices(
            prices.number("cross-zone", 0),
            prices.number("waste", 0),
            prices.number("late-fail", 0),
            prices.number("origin", 0),
            prices.number("probe", 0),
            prices.number("handshake", 0),
            prices.number("connection", 0),
            prices.number("peer", 0),
            prices.number("discovery", 0)),
        List.copyOf(services),
        List.copyOf(tenants),
        configuration.number("over-share-worth", 1),
        configuration.number("period", 0),
        Settings.Spread.DEFAULT);
  }

  private static Settings.ServiceClass serviceClass(Message service) throws WireException {
    return new Settings.ServiceClass(
        service.requiredText("name"),
        service.number("slo", 0),
        service.number("aim-stretch", 0),
        service.number("give-up", 0),
        service.number("credit", 1),
        service.number("late-share", 0),
        switch (service.text("effect", "fragile")) {
          case "retryable" -> Settings.Effect.SAFE;
          case "dedup" -> Settings.Effect.KEYED;
          default -> Settings.Effect.UNSAFE;
        },
        switch (service.text("group", "cell")) {
          case "all" -> Settings.Group.ALL;
          case "zone" -> Settings.Group.ZONE;
          default -> Settings.Group.CELL;
        },
        service.number("repeat-window", 0),
        service.flag("streamed"));
  }

  static MembershipUpdate membership(Message event) throws WireException {
    List<ServerEntry> entries = new ArrayList<>();
    for (Message entry : event.objects("lines")) {
      entries.add(
          new ServerEntry(
              entry.requiredInteger("server"),
              entry.text("zone", ""),
              entry.text("machine", ""),
              (int) entry.number("unit-group", 0),
              switch (entry.text("health", "ready")) {
                case "ready" -> ServerEntry.State.READY;
                case "gone" -> ServerEntry.State.GONE;
                default -> ServerEntry.State.DRAINING;
              },
              entry.number("heft", 1),
              entry.number("up-since", 0)));
    }
    String form = event.requiredText("form");
    return new MembershipUpdate(
        switch (form) {
          case "delta" -> MembershipUpdate.Kind.CHANGES;
          case "full" -> MembershipUpdate.Kind.FULL;
          case "cached" -> MembershipUpdate.Kind.CACHED;
          case "failed" -> MembershipUpdate.Kind.FAILED;
          default -> throw new WireException("SYNC message with unknown form '" + form + "'");
        },
        (long) event.number("rev", 0),
        entries);
  }

  static Request request(Message event) throws WireException {
    return new Request(
        event.requiredText("handle"),
        event.text("target-key", null),
        event.text("class", ""),
        event.text("owner", null),
        event.requiredNumber("budget"),
        event.number("work", 0),
        event.number("object-size", 0),
        event.flag("repeat"),
        event.flag("update"));
  }

  static Outcome outcome(Message event) throws WireException {
    return new Outcome(
        event.requiredText("handle"),
        (int) event.number("trial", 0),
        event.requiredInteger("server"),
        result(event),
        event.number("delay-seen", 0),
        event.flag("ended"),
        switch ((int) event.number("info", 0)) {
          case 1 -> Outcome.Note.HIT;
          case 2 -> Outcome.Note.MISS;
          case 3 -> Outcome.Note.MISS_PENDING;
          default -> Outcome.Note.NONE;
        },
        load(event));
  }

  static Outcome.Result result(Message event) throws WireException {
    String ending = event.requiredText("ending");
    return switch (ending) {
      case "completed" -> Outcome.Result.OK;
      case "errored" -> Outcome.Result.ERROR;
      case "saturated" -> Outcome.Result.FULL;
      case "overdue" -> Outcome.Result.TIMEOUT;
      case "refused_conn" -> Outcome.Result.CONNECT_FAILED;
      case "severed" -> Outcome.Result.RESET;
      case "recalled" -> Outcome.Result.CANCELLED;
      case "superseded" -> Outcome.Result.MOOT;
      case "lookup_miss" -> Outcome.Result.NOT_STORED;
      default -> throw new WireException("unknown ending '" + ending + "'");
    };
  }

  static LoadReport load(Message event) {
    if (!event.has("pressure")) {
      return null;
    }
    Message report = event.nested("pressure");
    return new LoadReport(
        report.number("active", Double.NaN),
        report.number("waiting", Double.NaN),
        report.number("cpu", Double.NaN),
        report.number("avg_ms", Double.NaN),
        report.number("rps", Double.NaN),
        report.number("err_rps", Double.NaN),
        report.number("x0", Double.NaN),
        report.number("x1", Double.NaN));
  }
}
