package beamspread.chaos;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Plays a scene once under a schedule. */
public final class Run {
  /** Where the run speaks of itself. */
  static final String RIG = "rig";

  private static final long STEP_NANOS = 5_000_000;

  /** The fact of an event by which the machine is known to have stood still: for how long. */
  static final String STOOD = "stood";

  /** How long a process that is told to end waits for what it has started. */
  private static final long LONGEST_END_SECONDS = 30;

  /** A stand from which on nothing is judged by the clock. */
  private static final long STOOD_NANOS = 80_000_000;

  private final Schedule schedule;
  private final Scene scene;
  private final Path folder;
  private final Map<String, Integer> pauses = new HashMap<>();
  private final Map<String, Integer> deaths = new HashMap<>();

  /** A run in a folder of its own. */
  public Run(Schedule schedule, Scene scene, Path folder) {
    this.schedule = schedule;
    this.scene = scene;
    this.folder = folder;
  }

  /**
   * What came of a run.
   *
   * @param dropped events that the history had no room for
   */
  public record Outcome(
      Schedule schedule, List<History.Event> events, long dropped, List<Breach> breaches) {
    /** Whether all held, and all could be judged. */
    public boolean good() {
      return breaches.isEmpty() && dropped == 0;
    }
  }

  /** A fault's beginning or end. */
  private record Turn(long atNanos, Fault fault, boolean begins) {}

  /**
   * Plays it to its end; all that was started is ended, also where this process is told to end
   * meanwhile.
   */
  public Outcome play() throws Exception {
    History history = new History(System.nanoTime());
    Thread playing = Thread.currentThread();
    CountDownLatch ended = new CountDownLatch(1);
    Thread atExit = new Thread(() -> endEarly(playing, ended), "chaos-exit");
    Runtime.getRuntime().addShutdownHook(atExit);
    try (Relays relays = new Relays(schedule.seed())) {
      play(history, relays);
    } finally {
      ended.countDown();
      forget(atExit);
    }
    List<History.Event> events = history.events();
    List<Breach> breaches = new ArrayList<>(scene.judge(events));
    breaches.sort(Comparator.comparingLong(Breach::atNanos));
    return new Outcome(schedule, events, history.dropped(), List.copyOf(breaches));
  }

  private static void endEarly(Thread playing, CountDownLatch ended) {
    playing.interrupt();
    try {
      ended.await(LONGEST_END_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void forget(Thread atExit) {
    try {
      Runtime.getRuntime().removeShutdownHook(atExit);
    } catch (IllegalStateException e) {
      // It is under way.
    }
  }

  private void play(History history, Relays relays) throws Exception {
    Thread watching = new Thread(() -> watchMachine(history), "machine-watch");
    watching.setDaemon(true);
    watching.start();
    try {
      Stage stage = new Stage(folder, schedule.seed(), relays, history);
      scene.begin(stage);
      stage.tell(History.What.PART, RIG, "faults begin");
      long beganAt = System.nanoTime();
      for (Turn turn : turns()) {
        awaitTime(beganAt + turn.atNanos());
        if (turn.begins()) {
          begin(turn.fault(), stage);
        } else {
          end(turn.fault(), stage);
        }
      }
      awaitTime(beganAt + schedule.healedAtNanos());
      stage.tell(History.What.PART, RIG, "all faults are over");
      awaitTime(beganAt + schedule.endNanos());
      scene.end();
      stage.tell(History.What.PART, RIG, "the end");
    } finally {
      watching.interrupt();
      scene.clear();
    }
  }

  /**
   * Tells where the machine has too much to do for anybody to be judged by the clock: this thread
   * asks for so little that it is late only if others are.
   */
  private static void watchMachine(History history) {
    try {
      while (true) {
        long before = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(10);
        long late = System.nanoTime() - before - 10_000_000;
        if (late >= STOOD_NANOS) {
          history.tell(
              System.nanoTime(),
              History.What.SEEN,
              RIG,
              "the machine stood still for " + late / 1_000_000 + " ms",
              STOOD,
              late);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Whether the machine itself stood still between these times. */
  static boolean stood(List<History.Event> stands, long from, long until) {
    return stands.stream()
        .anyMatch(one -> one.atNanos() >= from && one.atNanos() - one.number(STOOD, 0) <= until);
  }

  private List<Turn> turns() {
    List<Turn> turns = new ArrayList<>();
    for (Fault fault : schedule.faults()) {
      turns.add(new Turn(fault.atNanos(), fault, true));
      turns.add(new Turn(fault.endNanos(), fault, false));
    }
    // At one time ends come before beginnings: a flap's next cut is not ended with the one before.
    turns.sort(
        Comparator.comparingLong(Turn::atNanos)
            .thenComparing(Turn::begins)
            .thenComparing(turn -> turn.fault().says()));
    return turns;
  }

  private static void awaitTime(long atNanos) throws InterruptedException {
    long left = atNanos - System.nanoTime();
    while (left > 0) {
      TimeUnit.NANOSECONDS.sleep(Math.min(left, STEP_NANOS));
      left = atNanos - System.nanoTime();
    }
  }

  private void begin(Fault fault, Stage stage) throws IOException, InterruptedException {
    // Told before it holds: what it brings about must not stand before it in the history.
    stage.tell(History.What.FAULT, RIG, fault.says(), "whom", fault);
    if (fault.kind().links()) {
      stage.relays().begin(fault);
      return;
    }
    for (String process : scene.processes()) {
      if (fault.befalls(process)) {
        Victim victim = scene.victim(process);
        switch (fault.kind()) {
          case PAUSE -> {
            pauses.merge(process, 1, Integer::sum);
            victim.signal("STOP");
          }
          case KILL -> {
            deaths.merge(process, 1, Integer::sum);
            victim.kill();
          }
          case UPGRADE -> victim.startBeside();
          default -> {
            deaths.merge(process, 1, Integer::sum);
            victim.term();
          }
        }
      }
    }
  }

  private void end(Fault fault, Stage stage) throws IOException, InterruptedException {
    if (fault.kind().links()) {
      stage.relays().end(fault);
    } else {
      for (String process : scene.processes()) {
        if (fault.befalls(process)) {
          // Faults may overlap: the last one that ends lets it go on.
          if (fault.kind() == Fault.Kind.UPGRADE) {
            scene.victim(process).endUpgrade();
          } else if (fault.kind() == Fault.Kind.PAUSE) {
            if (pauses.merge(process, -1, Integer::sum) == 0) {
              scene.victim(process).signal("CONT");
            }
          } else if (deaths.merge(process, -1, Integer::sum) == 0) {
            scene.victim(process).startAgain(fault.fresh());
          }
        }
      }
    }
    stage.tell(History.What.HEALED, RIG, fault.says(), "whom", fault);
  }
}
