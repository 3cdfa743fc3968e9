package beamspread.agent;

import beamspread.fleet.api.Outcome;
import java.util.ArrayDeque;
import java.util.Locale;

/**
 * The life of one instance and the step under way at it, as a state machine: told what happens and
 * when, it says what is to be done. Free of I/O; times are nanoseconds of one clock that never runs
 * backwards. At most one step is under way, and each ends exactly once.
 */
final class InstanceMachine {
  /** Where an instance stands. */
  enum State {
    STOPPED,
    STARTING,
    RUNNING,
    STOPPING,
    /** It ended by itself and is started again after a pause. */
    BACKOFF,
    /** It ended by itself too often: it stays down until somebody starts it. */
    CRASH_LOOP;

    String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** What the step under way waits for. */
  private enum Phase {
    NONE,
    /** The node's status, to count its readings from. */
    STATUS,
    /** The record of what the step is about to do. */
    RECORD,
    /** The node's word that it has read its file. */
    READING,
    /** The end of the process. */
    END,
    /** The new process's readiness. */
    READY
  }

  /** The end of a process; the code is null where nobody can tell. */
  private record ProcessEnd(ProcessId process, Integer code) {}

  private static final long FIRST_LOOK = 15_000_000L;
  private static final long LONGEST_LOOK_PAUSE = 250_000_000L;
  private static final long KILL_AGAIN = 1_000_000_000L;
  private static final int KILLS = 5;

  /** After a restart of the agent: how long a node has to show that it did read its file. */
  private static final long RECOVERY = 1_500_000_000L;

  private final InstanceActions actions;
  private final boolean tellsStatus;
  private Timing timing;
  private final ArrayDeque<Long> exits = new ArrayDeque<>();

  private State state = State.STOPPED;
  private String reason;
  private boolean run;
  private ProcessId process;
  private boolean launching;

  /**
   * The end of the process that is being launched, told before its start; null if there is none.
   */
  private ProcessEnd earlyEnd;

  private long launchedAt;
  private long backoffUntil;
  private long killAt;
  private int kills;

  private Step step;
  private Phase phase = Phase.NONE;
  private Intent intent;
  private long phaseUntil;
  private boolean recovered;

  private NodeSays says;
  private boolean looking;
  private long lookAt;
  private long lookPause = FIRST_LOOK;

  InstanceMachine(InstanceActions actions, Timing timing, boolean tellsStatus) {
    this.actions = actions;
    this.timing = timing;
    this.tellsStatus = tellsStatus;
  }

  State state() {
    return state;
  }

  /** Why it is in its state; null where that goes without saying. */
  String reason() {
    return reason;
  }

  boolean run() {
    return run;
  }

  ProcessId process() {
    return process;
  }

  Step step() {
    return step;
  }

  /** What the node said last; null if this process has said nothing. */
  NodeSays says() {
    return says;
  }

  /** How often it ended by itself within the window. */
  int exits(long now) {
    while (!exits.isEmpty() && now - exits.peek() > timing.window()) {
      exits.poll();
    }
    return exits.size();
  }

  /** How long a stop takes at most from now on. */
  void stopWithin(long nanos) {
    timing = timing.withStop(nanos);
  }

  /** When it wants to be ticked at the latest; {@link Long#MAX_VALUE} for never. */
  long wakeAt() {
    long at = Long.MAX_VALUE;
    if (state == State.BACKOFF) {
      at = backoffUntil;
    } else if (state == State.STOPPING && process != null) {
      at = killAt;
    } else if (state == State.STARTING && process != null && !tellsStatus) {
      at = launchedAt + timing.settle();
    }
    if (phase == Phase.STATUS || phase == Phase.READING || phase == Phase.READY) {
      at = Math.min(at, phaseUntil);
    }
    if (process != null && tellsStatus && !looking) {
      at = Math.min(at, lookAt);
    }
    return at;
  }

  // What the agent begins with.

  /** A process that runs already is taken over. */
  void adopt(long now, ProcessId found) {
    process = found;
    run = true;
    launchedAt = now;
    become(State.STARTING, "taken over by the agent after its own restart");
    lookSoon(now);
  }

  /** Whether the instance is meant to run. */
  void mean(long now, boolean toRun) {
    run = toRun;
    if (run && state == State.STOPPED) {
      launch(now);
    } else if (!run && process != null && state != State.STOPPING) {
      stop(now);
    }
  }

  /** It stays down although it is meant to run; {@code why} says so. */
  void holdDown(String why) {
    reason = why;
  }

  // Steps.

  /** Begins a step. None may be under way. */
  void begin(long now, Step next) {
    if (step != null) {
      throw new IllegalStateException(step + " is under way");
    }
    step = next;
    recovered = false;
    switch (next.kind()) {
      case START -> {
        if (process != null && state != State.STOPPING) {
          if (state == State.RUNNING) {
            end(Outcome.SKIPPED, "runs already");
          } else {
            awaitReady(now);
          }
        } else {
          intend(Intent.on(null, 0, ""));
        }
      }
      case STOP -> {
        if (process == null) {
          run = false;
          if (state != State.STOPPED) {
            become(State.STOPPED, null);
          }
          end(Outcome.SKIPPED, "does not run");
        } else {
          intend(Intent.on(process, 0, ""));
        }
      }
      case RESTART -> intend(Intent.on(process, 0, ""));
      case RELOAD -> {
        if (process == null) {
          end(Outcome.FAILED, "does not run: " + state.word());
        } else if (!tellsStatus) {
          end(
              Outcome.REFUSED,
              "has no status_socket, so nobody could say whether it took the file");
        } else {
          phase = Phase.STATUS;
          phaseUntil = now + timing.look() * 2;
          lookSoon(now);
        }
      }
    }
  }

  /** A step that was under way when the agent ended; {@code was} is what is on record of it. */
  void recover(long now, Step old, Intent was) {
    step = old;
    recovered = true;
    intent = was;
    if (was == null) {
      end(Outcome.FAILED, "the agent ended before it had done anything");
      return;
    }
    switch (old.kind()) {
      case START -> {
        if (process == null) {
          act(now);
        } else {
          awaitReady(now);
        }
      }
      case STOP -> {
        if (process == null) {
          run = false;
          become(State.STOPPED, null);
          end(Outcome.SUCCEEDED, "had ended when the agent came back");
        } else {
          act(now);
        }
      }
      case RESTART -> {
        if (process == null || was.concerns(process)) {
          act(now);
        } else {
          awaitReady(now);
        }
      }
      case RELOAD -> {
        if (!was.concerns(process)) {
          end(Outcome.FAILED, "process " + was.pid() + " has ended; what it took is gone with it");
        } else {
          phase = Phase.READING;
          phaseUntil = now + Math.min(RECOVERY, timing.reload());
          lookSoon(now);
        }
      }
    }
  }

  private void intend(Intent next) {
    intent = next;
    phase = Phase.RECORD;
    actions.intend(step, next);
  }

  /** What the step is about to do is on record: now it may. */
  void intended(long now, Step of) {
    if (of.equals(step) && phase == Phase.RECORD) {
      act(now);
    }
  }

  /** It could not be put on record: nothing is done. */
  void notIntended(Step of, String why) {
    if (of.equals(step) && phase == Phase.RECORD) {
      end(Outcome.FAILED, "nothing was done: " + why);
    }
  }

  private void act(long now) {
    switch (step.kind()) {
      case START -> {
        run = true;
        exits.clear();
        if (process == null) {
          launch(now);
          awaitReady(now);
        } else if (state == State.STOPPING) {
          phase = Phase.END;
        } else {
          awaitReady(now);
        }
      }
      case STOP -> {
        run = false;
        phase = Phase.END;
        if (process == null) {
          become(State.STOPPED, null);
          end(Outcome.SUCCEEDED, "had ended by itself");
        } else if (state != State.STOPPING) {
          stop(now);
        }
      }
      case RESTART -> {
        run = true;
        exits.clear();
        if (process == null) {
          launch(now);
          awaitReady(now);
        } else {
          phase = Phase.END;
          if (state != State.STOPPING) {
            stop(now);
          }
        }
      }
      case RELOAD -> {
        if (!intent.concerns(process)) {
          end(Outcome.FAILED, "ended before the signal");
        } else {
          phase = Phase.READING;
          phaseUntil = now + timing.reload();
          actions.hangUp(process);
          lookSoon(now);
        }
      }
    }
  }

  private void awaitReady(long now) {
    if (step == null) {
      return;
    }
    if (state == State.RUNNING) {
      end(Outcome.SUCCEEDED, null);
      return;
    }
    phase = Phase.READY;
    phaseUntil = now + timing.start();
    lookSoon(now);
  }

  private void end(Outcome outcome, String why) {
    Step ended = step;
    step = null;
    phase = Phase.NONE;
    intent = null;
    actions.ended(ended, outcome, why);
  }

  // The process.

  private void launch(long now) {
    says = null;
    launchedAt = now;
    kills = 0;
    become(State.STARTING, null);
    if (!launching) {
      launching = true;
      actions.launch();
    }
  }

  private void stop(long now) {
    kills = 0;
    killAt = now + timing.stop();
    become(State.STOPPING, null);
    actions.terminate(process);
  }

  /** The process that was to be launched runs. */
  void launched(long now, ProcessId id) {
    launching = false;
    process = id;
    launchedAt = now;
    lookSoon(now);
    ProcessEnd end = earlyEnd;
    earlyEnd = null;
    if (end != null && end.process().equals(id)) {
      gone(now, id, end.code());
    } else if (state == State.STOPPING || !run) {
      stop(now);
    }
  }

  /** No process could be launched. */
  void notLaunched(long now, String why) {
    launching = false;
    ended(now, why);
  }

  /** A process has ended; {@code code} is null where nobody can tell. */
  void gone(long now, ProcessId id, Integer code) {
    if (!id.equals(process)) {
      if (launching) {
        earlyEnd = new ProcessEnd(id, code);
      }
      return;
    }
    process = null;
    looking = false;
    if (state == State.STOPPING) {
      if (run) {
        launch(now);
        if (phase == Phase.END) {
          awaitReady(now);
        }
      } else {
        become(State.STOPPED, null);
        if (phase == Phase.END) {
          end(
              Outcome.SUCCEEDED,
              kills > 0
                  ? "did not end within " + Timing.seconds(timing.stop()) + " of SIGTERM: killed"
                  : null);
        }
      }
      return;
    }
    String how =
        code == null ? "" : code > 128 ? " by signal " + (code - 128) : " with code " + code;
    ended(now, "ended by itself" + how + " after " + Timing.seconds(now - launchedAt));
  }

  /** It is down though nobody stopped it. */
  private void ended(long now, String why) {
    if (step != null && (phase == Phase.READY || phase == Phase.STATUS)) {
      end(Outcome.FAILED, why);
    } else if (phase == Phase.READING) {
      end(Outcome.FAILED, why + ", when it was to read its file");
    } else if (phase == Phase.END) {
      end(Outcome.FAILED, why);
    }
    if (!run) {
      become(State.STOPPED, why);
      return;
    }
    exits.add(now);
    int lately = exits(now);
    if (lately > timing.exits()) {
      become(
          State.CRASH_LOOP,
          why + "; " + lately + " times within " + Timing.seconds(timing.window()));
    } else {
      long pause = timing.backoffFirst();
      for (int i = 1; i < lately && pause < timing.backoffLongest(); i++) {
        pause *= 2;
      }
      backoffUntil = now + Math.min(pause, timing.backoffLongest());
      become(State.BACKOFF, why);
    }
  }

  // The node's word.

  private void lookSoon(long now) {
    lookPause = FIRST_LOOK;
    lookAt = now;
  }

  /** The node has told its status. */
  void status(long now, ProcessId asked, NodeSays told) {
    if (!asked.equals(process)) {
      return;
    }
    looking = false;
    nextLook(now);
    if (told.pid() != process.pid()) {
      // Another process answers on this socket: it says nothing of this one.
      return;
    }
    says = told;
    if (state == State.STARTING) {
      ready(now);
    }
    if (phase == Phase.STATUS) {
      intend(Intent.on(process, told.readings(), actions.digest()));
    } else if (phase == Phase.READING && told.readings() > intent.readings()) {
      judge(told);
    }
  }

  private void judge(NodeSays told) {
    if (told.refusal() != null) {
      end(Outcome.FAILED, "refused its file: " + told.refusal());
    } else if (!intent.digest().isEmpty() && !told.digest().equals(intent.digest())) {
      end(
          Outcome.FAILED,
          "took another file than was there at the signal (generation " + told.generation() + ")");
    } else {
      end(
          Outcome.SUCCEEDED,
          "generation "
              + told.generation()
              + (told.needsRestart() ? "; parts of it wait for the next start" : "")
              + (recovered ? "; found after the agent's restart" : ""));
    }
  }

  /** The node has not told its status in time. */
  void noStatus(long now, ProcessId asked) {
    if (asked.equals(process)) {
      looking = false;
      nextLook(now);
    }
  }

  private void nextLook(long now) {
    boolean urgent =
        state == State.STARTING
            || phase == Phase.STATUS
            || phase == Phase.READING
            || phase == Phase.READY;
    lookAt = now + (urgent ? lookPause : timing.idleLook());
    lookPause = urgent ? Math.min(2 * lookPause, LONGEST_LOOK_PAUSE) : FIRST_LOOK;
  }

  private void ready(long now) {
    become(State.RUNNING, null);
    lookAt = now + timing.idleLook();
    if (phase == Phase.READY) {
      end(Outcome.SUCCEEDED, null);
    }
  }

  /** Time has passed. */
  void tick(long now) {
    if (state == State.BACKOFF && now - backoffUntil >= 0) {
      launch(now);
    }
    if (state == State.STARTING
        && process != null
        && !tellsStatus
        && now - launchedAt >= timing.settle()) {
      ready(now);
    }
    if (state == State.STOPPING && process != null && now - killAt >= 0) {
      if (kills < KILLS) {
        kills++;
        actions.kill(process);
      } else if (phase == Phase.END) {
        end(Outcome.FAILED, "still there after SIGKILL");
      }
      killAt = now + KILL_AGAIN;
    }
    if (now - phaseUntil >= 0) {
      late();
    }
    if (process != null && tellsStatus && !looking && now - lookAt >= 0) {
      looking = true;
      actions.look(process);
    }
  }

  private void late() {
    if (phase == Phase.STATUS) {
      end(Outcome.FAILED, "does not answer on its status socket: no signal was sent");
    } else if (phase == Phase.READING) {
      if (recovered && says != null && says.readings() <= intent.readings()) {
        end(
            Outcome.FAILED,
            "has not read its file: the agent ended before the signal (generation "
                + says.generation()
                + ")");
      } else {
        end(
            Outcome.UNKNOWN,
            "the signal "
                + (recovered ? "may have been" : "was")
                + " sent; the node has not said within "
                + Timing.seconds(timing.reload())
                + " whether it took its file");
      }
    } else if (phase == Phase.READY) {
      reason = "runs, but is not ready after " + Timing.seconds(timing.start());
      end(Outcome.FAILED, reason);
    }
  }

  private void become(State next, String why) {
    state = next;
    reason = why;
    actions.changed(next, why);
  }
}
