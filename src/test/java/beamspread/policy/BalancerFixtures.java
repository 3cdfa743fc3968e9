package beamspread.policy;

import beamspread.model.MembershipUpdate;
import beamspread.model.Outcome;
import beamspread.model.Request;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.List;

/** Builds settings, servers, requests and outcomes for tests, and records actions. */
final class BalancerFixtures {
  /** One recorded action. */
  record Action(String kind, String requestId, long number, double value) {}

  /** Records every action. */
  static class Recorder implements Actions {
    final List<Action> recorded = new ArrayList<>();

    @Override
    public void send(String requestId, long server, double timeout) {
      recorded.add(new Action("send", requestId, server, timeout));
    }

    @Override
    public void cancel(String requestId, int attempt) {
      recorded.add(new Action("cancel", requestId, attempt, 0));
    }

    @Override
    public void refuse(String requestId, double retryAfter) {
      recorded.add(new Action("refuse", requestId, 0, retryAfter));
    }

    @Override
    public void fail(String requestId) {
      recorded.add(new Action("fail", requestId, 0, 0));
    }

    @Override
    public void setTimer(long token, double delay) {
      recorded.add(new Action("wake", "", token, delay));
    }

    @Override
    public void subscribe(boolean on) {
      recorded.add(new Action("subscribe", "", on ? 1 : 0, 0));
    }

    @Override
    public void closeIdle(long server) {
      recorded.add(new Action("closeIdle", "", server, 0));
    }

    List<Action> ofKind(String kind) {
      return recorded.stream().filter(a -> a.kind().equals(kind)).toList();
    }
  }

  private BalancerFixtures() {}

  static Settings settings(boolean callsForList, int maxAttempts, boolean parallelAttempts) {
    return settings(
        callsForList,
        new Settings.Limits(
            maxAttempts, parallelAttempts, true, false, false, false, 1, 0.1, 60, 32, 20000));
  }

  static Settings settings(boolean callsForList, Settings.Limits limits) {
    return settings(callsForList, limits, 4, Settings.Spread.DEFAULT);
  }

  static Settings settings(int instances, Settings.Spread spread) {
    return settings(false, settings(false, 6, true).limits(), instances, spread);
  }

  /** Returns the settings of the instance with this number. */
  static Settings withInstanceNumber(Settings settings, int number) {
    return with(settings, number, settings.contract());
  }

  /** Returns the settings of a fleet that calls for its list, at least this often. */
  static Settings callingForList(int instances, double callWithin) {
    Settings settings =
        settings(true, settings(false, 6, true).limits(), instances, Settings.Spread.DEFAULT);
    Settings.Contract contract = settings.contract();
    return with(
        settings,
        0,
        new Settings.Contract(
            contract.answerGrace(),
            callWithin,
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
        settings.callsForList(),
        settings.weights(),
        settings.cache(),
        settings.limits(),
        contract,
        settings.prices(),
        settings.services(),
        settings.tenants(),
        settings.overShareWorth(),
        settings.tickSeconds(),
        settings.spread());
  }

  private static Settings settings(
      boolean callsForList, Settings.Limits limits, int instances, Settings.Spread spread) {
    return new Settings(
        "a",
        List.of("a", "b"),
        List.of("box"),
        0,
        instances,
        callsForList,
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

  static MembershipUpdate update(MembershipUpdate.Kind kind, List<ServerEntry> entries) {
    return new MembershipUpdate(kind, 1, entries);
  }

  static MembershipUpdate cachedList(int size) {
    List<ServerEntry> entries = new ArrayList<>();
    for (long id = 1; id <= size; id++) {
      entries.add(server(id));
    }
    return update(MembershipUpdate.Kind.CACHED, entries);
  }

  static Request request(String id, String key, String serviceClass, double budget) {
    return new Request(
        id, key, serviceClass, null, budget, 0, 0, false, !serviceClass.equals("safe"));
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
