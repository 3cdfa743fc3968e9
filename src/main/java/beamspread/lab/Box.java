package beamspread.lab;

import beamspread.model.Outcome;
import beamspread.model.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** One cache box: cores, a queue, connections, and a cache that reads through to the origin. */
final class Box {
  /** How often its pace is set anew while it warms. */
  private static final long WARMER_NANOS = 250_000_000L;

  /** How long a box that was pushed over stays down. */
  private static final long DOWN_NANOS = 10_000_000_000L;

  /** Who is told how a request fared. */
  interface Answer {
    void comes(Outcome.Result result, Outcome.Note note);
  }

  final int number;
  final long id;
  final int zone;
  final Fleet.BoxKind kind;
  private final Timeline time;
  private final CentralDatabase origin;
  private final Cores cores;
  private final List<Link> links = new ArrayList<>();
  private final LinkedHashMap<Integer, Boolean> kept;
  private final Map<Integer, List<Answer>> fetches = new HashMap<>();
  private boolean up = true;
  private long epoch;
  private final Warmth warmth;
  private final Consumer<String> fallen;
  private double part = 1;

  /** A node's connection here. */
  interface Link {
    /** The box has ended. */
    void reset();
  }

  /**
   * @param fallen told where the box is pushed over while it is cold
   */
  Box(
      int number,
      int zone,
      Fleet.BoxKind kind,
      Timeline time,
      CentralDatabase origin,
      Settings.Contract contract,
      Consumer<String> fallen) {
    this.number = number;
    this.id = Fleet.boxId(number);
    this.zone = zone;
    this.kind = kind;
    this.time = time;
    this.origin = origin;
    this.warmth = new Warmth(contract, kind.cores() * kind.speed());
    this.fallen = fallen;
    this.cores = new Cores(time, kind.cores(), kind.queue());
    cores.speed(kind.speed());
    this.kept =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
            return size() > kind.keys();
          }
        };
  }

  /** Takes a connection, or turns it down. The first request on it waits for the handshake. */
  boolean connect(Link link, int node, Runnable ready) {
    if (!up || links.size() >= kind.connections()) {
      return false;
    }
    long work = (long) (kind.handshake() * 1e9);
    if (pushedOver(work, node)) {
      return false;
    }
    links.add(link);
    if (!cores.take(work, ready)) {
      links.remove(link);
      return false;
    }
    return true;
  }

  void disconnect(Link link) {
    links.remove(link);
  }

  /** Takes a request. */
  void take(int key, int node, boolean write, long work, Answer answer) {
    if (pushedOver(work, node)) {
      return;
    }
    boolean room =
        cores.take(
            work,
            () -> {
              if (write) {
                kept.remove(key);
                through(true, answer, Outcome.Note.NONE);
              } else if (kept.get(key) != null) {
                answer.comes(Outcome.Result.OK, Outcome.Note.HIT);
              } else {
                fetch(key, answer);
              }
            });
    if (!room) {
      answer.comes(Outcome.Result.FULL, Outcome.Note.NONE);
    }
  }

  /** Fetches a key once for all that wait for it. */
  private void fetch(int key, Answer answer) {
    List<Answer> waiting = fetches.get(key);
    if (waiting != null) {
      waiting.add((result, note) -> answer.comes(result, Outcome.Note.MISS_PENDING));
      return;
    }
    List<Answer> all = new ArrayList<>();
    all.add(answer);
    fetches.put(key, all);
    through(
        false,
        (result, note) -> {
          fetches.remove(key);
          if (result == Outcome.Result.OK) {
            kept.put(key, true);
          }
          all.forEach(one -> one.comes(result, note));
        },
        Outcome.Note.MISS);
  }

  private void through(boolean write, Answer answer, Outcome.Note note) {
    long now = epoch;
    origin.take(
        write,
        done -> {
          if (now == epoch) {
            answer.comes(done ? Outcome.Result.OK : Outcome.Result.ERROR, note);
          }
        });
  }

  /** How many requests are worked on here or wait for a core. */
  int inside() {
    return cores.inside();
  }

  /** Works at a part of its speed, or at all of it again. */
  void slow(double part) {
    this.part = part;
    pace();
  }

  private void pace() {
    cores.speed(kind.speed() * part * warmth.part(time.now()));
  }

  /** Rule 4: falls with all that it has, and stays down for a while. */
  private boolean pushedOver(long work, int node) {
    if (!up || !warmth.falls(time.now(), work, node)) {
      return false;
    }
    fallen.accept(warmth.story(time.now()));
    end();
    long now = epoch;
    time.in(
        DOWN_NANOS,
        () -> {
          if (now == epoch) {
            start();
          }
        });
    return true;
  }

  /** Ends, with all that is under way, and loses its cache. */
  void end() {
    up = false;
    epoch++;
    cores.reset();
    kept.clear();
    fetches.clear();
    List<Link> all = List.copyOf(links);
    links.clear();
    all.forEach(Link::reset);
  }

  /** Starts, cold. */
  void start() {
    up = true;
    warmth.started(time.now());
    warmer();
  }

  private void warmer() {
    pace();
    long now = epoch;
    if (!warmth.warm(time.now())) {
      time.in(
          WARMER_NANOS,
          () -> {
            if (now == epoch) {
              warmer();
            }
          });
    }
  }
}
