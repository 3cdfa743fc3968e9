package beamspread.lab;

import beamspread.model.MembershipUpdate;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** One run of a fleet: the same seed gives the same figures, whatever else the machine does. */
final class Emulator {
  private static final long SWEEP_NANOS = 100_000_000L;

  private final Fleet fleet;
  private final Streams streams;
  private final Timeline time = new Timeline();
  private final Tally tally = new Tally();
  private final CourseBuilder course;
  private final List<Box> boxes = new ArrayList<>();
  private final Map<Long, Box> byId = new HashMap<>();
  private final Map<Long, Double> startedAt = new HashMap<>();

  /** Those that clients are sent to, the dead included. */
  private final List<NodeModel> nodes = new ArrayList<>();

  /** All that there ever were, for the sums. */
  private final List<NodeModel> all = new ArrayList<>();

  private final long seed;
  private final CentralDatabase origin;
  private final Demand demand;
  private final UniformRandomProvider front;
  private final UniformRandomProvider work;
  private final long warm;
  private final long end;
  private long requests;
  private long version = 1;
  private int starts;

  /**
   * @param warmSeconds of the run that count for nothing
   * @param seconds that count
   * @throws IllegalArgumentException with all that makes no sense in the fleet
   */
  private Emulator(Fleet fleet, Demand demand, long seed, double warmSeconds, double seconds) {
    this.fleet = fleet.sound();
    this.streams = new Streams(seed);
    this.warm = (long) (warmSeconds * 1e9);
    this.end = warm + (long) (seconds * 1e9);
    this.demand = demand;
    this.course = new CourseBuilder(warmSeconds + seconds, fleet.boxCount());
    this.front = streams.of("front");
    this.work = streams.of("work");
    origin =
        new CentralDatabase(
            fleet.origin(), fleet.load().distribution(), streams.of("origin"), time);
    this.seed = seed;
    build();
  }

  /** Plays a fleet. */
  static Result run(Fleet fleet, long seed, double warmSeconds, double seconds) {
    return run(fleet, new PoissonDemand(fleet.load(), seed), seed, warmSeconds, seconds);
  }

  /** Plays a fleet that is asked for something else than its load says. */
  static Result run(Fleet fleet, Demand demand, long seed, double warmSeconds, double seconds) {
    return new Emulator(fleet, demand, seed, warmSeconds, seconds).run();
  }

  private void build() {
    Settings.Contract contract = fleet.settings(0).contract();
    for (Fleet.BoxKind kind : fleet.boxes()) {
      for (int i = 0; i < kind.count(); i++) {
        int number = boxes.size();
        Box box =
            new Box(
                number,
                number % fleet.zones(),
                kind,
                time,
                origin,
                contract,
                story -> tally.fallen(fallen(number, story)));
        boxes.add(box);
        byId.put(box.id, box);
      }
    }
    List<ServerEntry> list = list();
    for (int i = 0; i < fleet.nodes(); i++) {
      nodes.add(node(i, list));
    }
  }

  private String fallen(int box, String story) {
    return String.format(Locale.ROOT, "box %d at %.3f s: %s", box, time.now() / 1e9, story);
  }

  private List<ServerEntry> list() {
    return boxes.stream()
        .map(box -> entry(box, startedAt.getOrDefault(box.id, 0.0), ServerEntry.State.READY))
        .toList();
  }

  /** A node that has just started. */
  private NodeModel node(int number, List<ServerEntry> list) {
    int zone = number % fleet.zones();
    int start = starts++;
    NodeModel node =
        new NodeModel(
            time,
            tally,
            fleet,
            fleet.settings(number),
            zone,
            byId,
            seed * 1000 + start,
            streams.of("pool" + start));
    node.list(new MembershipUpdate(MembershipUpdate.Kind.CACHED, version, list));
    node.list(new MembershipUpdate(MembershipUpdate.Kind.FULL, version, list));
    all.add(node);
    return node;
  }

  private static ServerEntry entry(Box box, double startedAt, ServerEntry.State state) {
    return new ServerEntry(
        box.id,
        Fleet.zone(box.zone),
        box.kind.name(),
        0,
        state,
        box.kind.cores() * box.kind.speed(),
        startedAt);
  }

  private Result run() {
    fleet.faults().forEach(this::plan);
    next();
    time.in(SWEEP_NANOS, this::sweep);
    time.in(course.sliceNanos(), this::slice);
    time.run(warm);
    long[] before = sums();
    long atWarm = time.steps();
    time.run(end);
    // What was asked still ends, and counts; nothing more is asked.
    double longest =
        fleet.load().services().stream()
            .mapToDouble(Settings.ServiceClass::deadline)
            .max()
            .orElse(1);
    time.run(end + (long) (longest * 1e9) + 2 * Fleet.Load.GRACE_NANOS);
    long[] after = sums();
    return tally.result(
        after[0] - before[0],
        after[1] - before[1],
        after[2] - before[2],
        after[3] - before[3],
        time.steps() - atWarm,
        course.course(tally.served()));
  }

  private long[] sums() {
    return new long[] {
      all.stream().mapToLong(NodeModel::sent).sum(),
      all.stream().mapToLong(NodeModel::handshakes).sum(),
      all.stream().mapToLong(NodeModel::turnedDown).sum(),
      origin.fetches()
    };
  }

  private void sweep() {
    nodes.forEach(NodeModel::sweep);
    time.in(SWEEP_NANOS, this::sweep);
  }

  private void slice() {
    course.slice(boxes.stream().mapToInt(Box::inside).toArray());
    if (time.now() + course.sliceNanos() <= end) {
      time.in(course.sliceNanos(), this::slice);
    }
  }

  // Clients.

  private void next() {
    Demand.Ask ask = demand.next();
    if (ask != null && ask.at() < end) {
      time.in(
          ask.at() - time.now(),
          () -> {
            ask(ask);
            next();
          });
    }
  }

  private void ask(Demand.Ask ask) {
    Fleet.Load load = fleet.load();
    long nanos = load.distribution().nanos(work, load.work());
    attempt(new Asked(ask.key(), ask.write(), load.service(ask.write()), nanos, time.now()));
  }

  private void attempt(Asked asked) {
    NodeModel node = nodes.get(front.nextInt(nodes.size()));
    long way = (long) (fleet.network().near() * 1e9);
    long left = asked.since + (long) (asked.service.deadline() * 1e9) - time.now();
    boolean[] answered = new boolean[1];
    asked.tries++;
    String id = Long.toHexString(++requests);
    time.in(
        way,
        () ->
            node.request(
                id,
                asked,
                left - way,
                asked.tries > 1,
                (answer, after) -> {
                  answered[0] = true;
                  time.in(way, () -> comes(asked, answer, after));
                }));
    time.in(
        left + Fleet.Load.GRACE_NANOS,
        () -> {
          if (!answered[0]) {
            tally.lost(
                asked.story()
                    + String.format(Locale.ROOT, ", no answer by %.3f s", time.now() / 1e9));
            end(asked, Answer.FAILED);
          }
        });
  }

  private void comes(Asked asked, Answer answer, double retryAfter) {
    Settings.ServiceClass service = asked.service;
    long left = asked.since + (long) (service.deadline() * 1e9) - time.now();
    long pause = fleet.load().again(service, answer, asked.tries, left, (long) (retryAfter * 1e9));
    if (pause >= 0) {
      time.in(pause, () -> attempt(asked));
    } else {
      end(asked, answer);
    }
  }

  private void end(Asked asked, Answer answer) {
    long took = time.now() - asked.since;
    course.ended(asked.since, answer, took > asked.service.aim() * 1e9);
    if (asked.since >= warm) {
      tally.ended(asked.service, answer, took);
      if (asked.service.effect() == Settings.Effect.UNSAFE) {
        // What is still under way for it then would have been carried out by this time.
        time.in(
            Fleet.Load.GRACE_NANOS,
            () -> {
              if (asked.executed > 1) {
                tally.twice(asked.story());
              }
            });
      }
    }
  }

  // What goes wrong.

  private void plan(Fleet.Fault fault) {
    long at = (long) (fault.at() * 1e9);
    long until = at + (long) (fault.lasts() * 1e9);
    long lag = (long) (fleet.network().list() * 1e9);
    switch (fault.kind()) {
      case BOX_RESTARTS -> {
        Box box = boxes.get(fault.number());
        time.in(at, box::end);
        time.in(until, box::start);
        time.in(until + lag, () -> tellStart(box, until));
      }
      case BOX_DRAINS -> {
        Box box = boxes.get(fault.number());
        time.in(
            at + lag,
            () ->
                tell(entry(box, startedAt.getOrDefault(box.id, 0.0), ServerEntry.State.DRAINING)));
        time.in(
            until,
            () -> {
              box.end();
              box.start();
            });
        time.in(until + lag, () -> tellStart(box, until));
      }
      case BOX_SLOW -> {
        Box box = boxes.get(fault.number());
        time.in(at, () -> box.slow(fault.part()));
        time.in(until, () -> box.slow(1));
      }
      case NODE_DIES -> {
        int number = fault.number();
        time.in(at, () -> nodes.get(number).die());
        time.in(until, () -> nodes.set(number, node(number, list())));
      }
      case ORIGIN_SLOW -> {
        time.in(at, () -> origin.slow(fault.part()));
        time.in(until, () -> origin.slow(1));
      }
    }
  }

  private void tellStart(Box box, long at) {
    startedAt.put(box.id, NodeModel.EPOCH_SECONDS + at / 1e9);
    tell(entry(box, startedAt.get(box.id), ServerEntry.State.READY));
  }

  private void tell(ServerEntry entry) {
    MembershipUpdate update =
        new MembershipUpdate(MembershipUpdate.Kind.CHANGES, ++version, List.of(entry));
    nodes.forEach(node -> node.list(update));
  }
}
