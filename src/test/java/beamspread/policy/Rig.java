package beamspread.policy;

import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Request;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.List;

/** Builds small worlds for tests: settings, servers, and a recorder of actions. */
final class Rig {
  /** One recorded action. */
  record Act(String what, String id, long number, double value) {}

  /** Writes every action down. */
  static class Recorder implements Actions {
    final List<Act> acts = new ArrayList<>();

    @Override
    public void send(String requestId, long server, double timeout) {
      acts.add(new Act("send", requestId, server, timeout));
    }

    @Override
    public void cancel(String requestId, int attempt) {
      acts.add(new Act("cancel", requestId, attempt, 0));
    }

    @Override
    public void refuse(String requestId, double retryAfter) {
      acts.add(new Act("refuse", requestId, 0, retryAfter));
    }

    @Override
    public void fail(String requestId) {
      acts.add(new Act("fail", requestId, 0, 0));
    }

    @Override
    public void wake(long token, double delay) {
      acts.add(new Act("wake", "", token, delay));
    }

    @Override
    public void subscribe(boolean on) {
      acts.add(new Act("subscribe", "", on ? 1 : 0, 0));
    }

    @Override
    public void closeIdle(long server) {
      acts.add(new Act("closeIdle", "", server, 0));
    }

    List<Act> of(String what) {
      return acts.stream().filter(a -> a.what().equals(what)).toList();
    }
  }

  private Rig() {}

  static Settings settings(boolean asks, int maxAttempts, boolean parallel) {
    return settings(
        asks,
        new Settings.Limits(
            maxAttempts, parallel, true, false, false, false, 1, 0.1, 60, 32, 20000));
  }

  static Settings settings(boolean asks, Settings.Limits limits) {
    return settings(asks, limits, 4, Settings.Spread.USUAL);
  }

  static Settings settings(int instances, Settings.Spread spread) {
    return settings(false, settings(false, 6, true).limits(), instances, spread);
  }

  /** The settings of the balancer of this number. */
  static Settings numbered(Settings settings, int number) {
    return with(settings, number, settings.contract());
  }

  /** Settings of a fleet that asks for its list, as seldom as this. */
  static Settings asking(int instances, double askWithin) {
    Settings settings =
        settings(true, settings(false, 6, true).limits(), instances, Settings.Spread.USUAL);
    Settings.Contract contract = settings.contract();
    return with(
        settings,
        0,
        new Settings.Contract(
            contract.answerGrace(),
            askWithin,
            contract.drainGrace(),
            contract.coldFrom(),
            contract.warmWithin(),
            contract.overloadFactor(),
            contract.overloadFor()));
  }

  private static Settings with(Settings settings, int number, Settings.Contract contract) {
    return new Settings(
        settings.zone(),
        settings.zones(),
        settings.kinds(),
        number,
        settings.instances(),
        settings.asksForList(),
        settings.weights(),
        settings.cache(),
        settings.limits(),
        contract,
        settings.prices(),
        settings.services(),
        settings.tenants(),
        settings.overShareWorth(),
        settings.tick(),
        settings.spread());
  }

  private static Settings settings(
      boolean asks, Settings.Limits limits, int instances, Settings.Spread spread) {
    return new Settings(
        "a",
        List.of("a", "b"),
        List.of("box"),
        0,
        instances,
        asks,
        Settings.Weights.NONE,
        new Settings.CacheMode(false, null, 0, 0),
        limits,
        new Settings.Contract(0.02, 10, 2, 0.1, 20, 3, 2),
        new Settings.Prices(0, 0, 0, 0, 0, 0, 0, 0, 0),
        List.of(
            service("safe", Settings.Effect.SAFE, Settings.Group.ALL),
            service("all", Settings.Effect.KEYED, Settings.Group.ALL),
            service("zone", Settings.Effect.KEYED, Settings.Group.ZONE),
            service("cell", Settings.Effect.KEYED, Settings.Group.CELL),
            service("unsafe", Settings.Effect.UNSAFE, Settings.Group.ALL)),
        List.of(),
        1,
        0.005,
        spread);
  }

  private static Settings.ServiceClass service(
      String name, Settings.Effect effect, Settings.Group group) {
    return new Settings.ServiceClass(name, 0.5, 0, 2, 1, 0.2, effect, group, 1, false);
  }

  static ServerEntry server(long id) {
    return server(id, ServerEntry.State.READY, 0);
  }

  static ServerEntry server(long id, ServerEntry.State state, double startedAt) {
    return new ServerEntry(id, id % 2 == 0 ? "a" : "b", "box", (int) id % 3, state, 1, startedAt);
  }

  static MembershipUpdate list(MembershipUpdate.Kind kind, List<ServerEntry> entries) {
    return new MembershipUpdate(kind, 1, entries);
  }

  static MembershipUpdate fleet(int size) {
    List<ServerEntry> entries = new ArrayList<>();
    for (long id = 1; id <= size; id++) {
      entries.add(server(id));
    }
    return list(MembershipUpdate.Kind.REMEMBERED, entries);
  }

  static Request request(String id, String key, String type, double budget) {
    return new Request(id, key, type, null, budget, 0, 0, false, !type.equals("safe"));
  }

  static Outcome outcome(String id, int attempt, long server, Outcome.Result result) {
    return new Outcome(
        id,
        attempt,
        server,
        result,
        0.05,
        result == Outcome.Result.OK,
        result == Outcome.Result.OK ? Outcome.Note.HIT : Outcome.Note.NONE,
        null);
  }
}
