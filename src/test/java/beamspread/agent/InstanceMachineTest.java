package beamspread.agent;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import com.fasterxml.jackson.databind.node.NullNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The life of an instance, without any process. */
class InstanceMachineTest {
  private static final long MS = 1_000_000L;
  private static final Timing TIMING =
      new Timing(
          3000 * MS,
          50 * MS,
          1000 * MS,
          500 * MS,
          100 * MS,
          2000 * MS,
          10 * MS,
          40 * MS,
          2,
          60_000 * MS);

  /** Writes down what the machine decides. */
  private static final class Acts implements InstanceActions {
    final List<String> said = new ArrayList<>();
    final List<String> ends = new ArrayList<>();
    int launches;
    Intent intent;

    @Override
    public void launch() {
      launches++;
      said.add("launch");
    }

    @Override
    public void terminate(ProcessId process) {
      said.add("term " + process.pid());
    }

    @Override
    public void kill(ProcessId process) {
      said.add("kill " + process.pid());
    }

    @Override
    public void hangUp(ProcessId process) {
      said.add("hup " + process.pid());
    }

    @Override
    public void look(ProcessId process) {
      said.add("look " + process.pid());
    }

    @Override
    public void intend(Step step, Intent what) {
      intent = what;
      said.add("intend");
    }

    @Override
    public String digest() {
      return "new";
    }

    @Override
    public void ended(Step step, Outcome outcome, String reason) {
      ends.add(step.instance() + step.attempt() + " " + outcome.word() + ": " + reason);
    }

    @Override
    public void changed(InstanceMachine.State state, String reason) {
      said.add(state.word());
    }
  }

  private final Acts acts = new Acts();
  private final InstanceMachine machine = new InstanceMachine(acts, TIMING, true);

  private static ProcessId process(long pid) {
    return new ProcessId(pid, 100 + pid, "boot");
  }

  private static NodeSays says(long pid, long readings, String digest, String refusal) {
    return new NodeSays(
        pid, readings, digest, readings, digest, refusal, false, NullNode.getInstance());
  }

  private static Step step(Kind kind, int attempt) {
    return new Step("op", "n", attempt, kind);
  }

  private void running(long pid) {
    machine.adopt(0, process(pid));
    machine.tick(0);
    machine.status(1, process(pid), says(pid, 1, "old", null));
    assertThat(machine.state()).isEqualTo(InstanceMachine.State.RUNNING);
    acts.said.clear();
  }

  private void reloading() {
    running(5);
    machine.begin(10 * MS, step(Kind.RELOAD, 1));
    machine.tick(10 * MS);
    machine.status(11 * MS, process(5), says(5, 1, "old", null));
    assertThat(acts.said).containsExactly("look 5", "intend");
    assertThat(acts.intent.readings()).isEqualTo(1);
    machine.intended(12 * MS, step(Kind.RELOAD, 1));
    assertThat(acts.said).contains("hup 5");
  }

  @Test
  void nothingIsSignalledBeforeItIsOnRecord() {
    running(5);
    machine.begin(10 * MS, step(Kind.STOP, 1));
    assertThat(acts.said).containsExactly("intend");
    machine.notIntended(step(Kind.STOP, 1), "disk full");
    assertThat(acts.ends).containsExactly("n1 failed: nothing was done: disk full");
    assertThat(acts.said).containsExactly("intend");
  }

  @Test
  void aReloadSucceedsOnlyWhenTheNodeSaysSo() {
    reloading();
    machine.status(20 * MS, process(5), says(5, 1, "old", null));
    assertThat(acts.ends).isEmpty();
    machine.status(30 * MS, process(5), says(5, 2, "new", null));
    assertThat(acts.ends).containsExactly("n1 succeeded: generation 2");
  }

  @Test
  void aRefusedFileAnotherFileAndSilenceAreNoSuccess() {
    reloading();
    machine.status(20 * MS, process(5), says(5, 2, "old", "no 'listen'"));
    machine.begin(30 * MS, step(Kind.RELOAD, 2));
    machine.tick(30 * MS);
    machine.status(31 * MS, process(5), says(5, 2, "old", null));
    machine.intended(32 * MS, step(Kind.RELOAD, 2));
    machine.status(40 * MS, process(5), says(5, 3, "third", null));
    machine.begin(50 * MS, step(Kind.RELOAD, 3));
    machine.tick(50 * MS);
    machine.status(51 * MS, process(5), says(5, 3, "third", null));
    machine.intended(52 * MS, step(Kind.RELOAD, 3));
    machine.tick(553 * MS);
    assertThat(acts.ends)
        .containsExactly(
            "n1 failed: refused its file: no 'listen'",
            "n2 failed: took another file than was there at the signal (generation 3)",
            "n3 unknown: the signal was sent; the node has not said within 0.5 s whether it took"
                + " its file");
  }

  @Test
  void aNodeThatTellsNothingGetsNoSignal() {
    running(5);
    machine.begin(10 * MS, step(Kind.RELOAD, 1));
    machine.tick(10 * MS);
    machine.noStatus(110 * MS, process(5));
    machine.tick(210 * MS);
    assertThat(acts.ends)
        .containsExactly("n1 failed: does not answer on its status socket: no signal was sent");
    assertThat(acts.said).doesNotContain("hup 5");
  }

  /** Guards against a process that is gone and told as running: its end came before its start. */
  @Test
  void anEndThatComesBeforeItsStartIsNoRunningProcess() {
    machine.begin(0, step(Kind.START, 1));
    machine.intended(0, step(Kind.START, 1));
    machine.gone(MS, process(7), 126);
    machine.launched(2 * MS, process(7));
    assertThat(acts.ends).hasSize(1);
    assertThat(acts.ends.get(0)).startsWith("n1 failed: ended by itself with code 126");
    assertThat(machine.process()).isNull();
    assertThat(machine.state()).isEqualTo(InstanceMachine.State.BACKOFF);
    machine.tick(20 * MS);
    assertThat(acts.launches).as("it is started again").isEqualTo(2);
    machine.launched(21 * MS, process(8));
    assertThat(machine.process()).as("the next one runs").isEqualTo(process(8));
  }

  @Test
  void anEarlyEndUnderAStopIsTheEndOfTheStop() {
    machine.mean(0, true);
    machine.gone(MS, process(7), 1);
    machine.mean(2 * MS, false);
    machine.launched(3 * MS, process(7));
    assertThat(machine.process()).isNull();
    assertThat(machine.state()).isEqualTo(InstanceMachine.State.STOPPED);
    assertThat(acts.said).doesNotContain("term 7");
  }

  /**
   * Every order in which a start, its end, a status and a stop can be told, up to seven of them.
   */
  @Test
  void noOrderOfEventsLeavesAProcessThatIsGone() {
    int events = 5;
    int length = 7;
    for (int order = 0; order < Math.pow(events, length); order++) {
      InstanceMachine each = new InstanceMachine(new Acts(), TIMING, true);
      boolean ended = false;
      boolean started = false;
      each.mean(0, true);
      int rest = order;
      for (int i = 1; i <= length; i++, rest /= events) {
        long now = i * MS;
        switch (rest % events) {
          case 0 -> {
            if (!started) {
              started = true;
              each.launched(now, process(7));
            }
          }
          case 1 -> {
            if (!ended) {
              ended = true;
              each.gone(now, process(7), 1);
            }
          }
          case 2 -> each.status(now, process(7), says(7, 1, "old", null));
          case 3 -> each.mean(now, false);
          default -> each.tick(now);
        }
      }
      if (started && ended) {
        assertThat(process(7).equals(each.process())).as("order %d", order).isFalse();
      }
    }
  }

  @Test
  void aProcessThatEndsUnderAReloadFailsIt() {
    reloading();
    machine.gone(20 * MS, process(5), 1);
    assertThat(acts.ends.get(0)).startsWith("n1 failed: ended by itself with code 1");
    assertThat(machine.state()).isEqualTo(InstanceMachine.State.BACKOFF);
  }

  @Test
  void aStopKillsWhatDoesNotEndAndGivesUpInTheEnd() {
    running(5);
    machine.begin(0, step(Kind.STOP, 1));
    machine.intended(0, step(Kind.STOP, 1));
    machine.tick(999 * MS);
    assertThat(acts.said).contains("term 5").doesNotContain("kill 5");
    for (long at = 1000; at <= 7000; at += 1000) {
      machine.tick(at * MS);
    }
    assertThat(acts.said.stream().filter("kill 5"::equals)).hasSize(5);
    assertThat(acts.ends).containsExactly("n1 failed: still there after SIGKILL");
  }

  @Test
  void restartsBackOffAndEndInACrashLoop() {
    machine.mean(0, true);
    long now = 0;
    List<Long> pauses = new ArrayList<>();
    for (int i = 1; machine.state() != InstanceMachine.State.CRASH_LOOP; i++) {
      assertThat(i).isLessThan(10);
      machine.launched(now, process(i));
      machine.gone(now, process(i), 1);
      if (machine.state() == InstanceMachine.State.BACKOFF) {
        pauses.add((machine.wakeAt() - now) / MS);
        now = machine.wakeAt();
        machine.tick(now);
      }
    }
    assertThat(pauses).containsExactly(10L, 20L);
    assertThat(acts.launches).isEqualTo(3);
    assertThat(machine.wakeAt()).isEqualTo(Long.MAX_VALUE);
    machine.begin(now, step(Kind.START, 1));
    machine.intended(now, step(Kind.START, 1));
    assertThat(acts.launches).isEqualTo(4);
    assertThat(machine.exits(now)).isZero();
  }

  @Test
  void anOldProcessesNewsDoesNotTouchTheNewOne() {
    running(5);
    machine.begin(0, step(Kind.RESTART, 1));
    machine.intended(0, step(Kind.RESTART, 1));
    machine.gone(MS, process(5), 0);
    machine.launched(2 * MS, process(6));
    machine.status(3 * MS, process(5), says(5, 1, "old", null));
    machine.gone(4 * MS, process(5), 0);
    assertThat(acts.ends).isEmpty();
    machine.status(5 * MS, process(6), says(5, 1, "old", null));
    assertThat(acts.ends).isEmpty();
    machine.status(6 * MS, process(6), says(6, 1, "new", null));
    assertThat(acts.ends).containsExactly("n1 succeeded: null");
  }

  @Test
  void aLaunchUnderWayIsNotDoubledByAStart() {
    machine.mean(0, true);
    machine.begin(0, step(Kind.START, 1));
    machine.intended(0, step(Kind.START, 1));
    assertThat(acts.launches).isEqualTo(1);
    machine.launched(MS, process(7));
    machine.status(2 * MS, process(7), says(7, 1, "x", null));
    assertThat(acts.ends).containsExactly("n1 succeeded: null");
  }

  @Test
  void aReloadCutShortIsJudgedByWhatTheNodeHasRead() {
    Intent intent = Intent.on(process(5), 1, "new");
    running(5);
    machine.recover(0, step(Kind.RELOAD, 1), intent);
    machine.tick(0);
    machine.status(MS, process(5), says(5, 2, "new", null));
    machine.recover(2 * MS, step(Kind.RELOAD, 2), intent);
    machine.status(3 * MS, process(5), says(5, 1, "old", null));
    machine.tick(2000 * MS);
    machine.recover(0, step(Kind.RELOAD, 3), null);
    machine.recover(0, step(Kind.RELOAD, 4), Intent.on(process(4), 1, "new"));
    assertThat(acts.ends)
        .containsExactly(
            "n1 succeeded: generation 2; found after the agent's restart",
            "n2 failed: has not read its file: the agent ended before the signal (generation 1)",
            "n3 failed: the agent ended before it had done anything",
            "n4 failed: process 4 has ended; what it took is gone with it");
    assertThat(acts.said).doesNotContain("hup 5");
  }

  @Test
  void aRestartCutShortIsFinished() {
    running(6);
    machine.recover(0, step(Kind.RESTART, 1), Intent.on(process(5), 0, ""));
    machine.tick(0);
    machine.status(MS, process(6), says(6, 1, "x", null));
    assertThat(acts.ends).containsExactly("n1 succeeded: null");
    assertThat(acts.said).doesNotContain("term 6");
    machine.recover(0, step(Kind.RESTART, 2), Intent.on(process(6), 0, ""));
    assertThat(acts.said).contains("term 6");
  }

  /** Any events in any order: one launch at a time, each step ends once, no signal to the dead. */
  @Property(tries = 500)
  void everyStepEndsExactlyOnce(@ForAll long seed) {
    Random random = new Random(seed);
    Acts all = new Acts();
    InstanceMachine any = new InstanceMachine(all, TIMING, random.nextBoolean());
    long now = 0;
    long nextPid = 1;
    int steps = 0;
    int launched = 0;
    ProcessId alive = null;
    Step current = null;
    for (int i = 0; i < 300; i++) {
      now += random.nextInt(40) * MS;
      switch (random.nextInt(9)) {
        case 0 -> {
          if (any.step() == null) {
            current = step(Kind.values()[random.nextInt(4)], ++steps);
            any.begin(now, current);
          }
        }
        case 1 -> {
          if (current != null) {
            any.intended(now, current);
          }
        }
        case 2 -> {
          if (all.launches > launched) {
            launched = all.launches;
            alive = process(nextPid++);
            any.launched(now, alive);
          }
        }
        case 3 -> {
          if (alive != null && random.nextInt(3) == 0) {
            ProcessId gone = alive;
            alive = null;
            any.gone(now, gone, random.nextInt(3));
          }
        }
        case 4 -> {
          if (alive != null) {
            any.status(now, alive, says(alive.pid(), random.nextInt(5), "new", null));
          }
        }
        case 5 -> {
          if (alive != null) {
            any.noStatus(now, alive);
          }
        }
        case 6 -> {
          if (current != null && random.nextInt(4) == 0) {
            any.notIntended(current, "disk");
          }
        }
        default -> any.tick(now);
      }
      assertThat(all.launches - launched).isBetween(0, 1);
      assertThat(any.process()).isEqualTo(alive);
      assertThat(all.ends.size()).isEqualTo(steps - (any.step() == null ? 0 : 1));
    }
    // Left alone, what is under way ends within its limits.
    if (current != null) {
      any.intended(now, current);
    }
    for (int i = 0; i < 200 && any.step() != null; i++) {
      now += 100 * MS;
      if (all.launches > launched) {
        launched = all.launches;
        alive = process(nextPid++);
        any.launched(now, alive);
      }
      any.tick(now);
    }
    assertThat(any.step()).isNull();
    assertThat(all.ends).hasSize(steps);
  }
}
