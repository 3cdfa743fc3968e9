package beamspread.agent;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Kind;
import beamspread.fleet.api.Outcome;
import beamspread.record.RecordChange;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One instance: its machine, and the I/O that carries out what the machine decides. */
final class Managed implements InstanceActions {
  /** How long until an outcome that could not be put on record is tried again. */
  private static final long AGAIN_MILLIS = 250;

  final AgentConfig.Instance config;
  final InstanceMachine machine;
  final InstanceLog log;
  private final AgentCore core;
  private final Path pidFile;
  private long sinceMillis;
  private long heardMillis;
  private final StopAllowance stopAllowance = new StopAllowance();
  private boolean adopted;
  private ScheduledFuture<?> wake;

  /** The step that holds the instance: from before it is on record until its end is. */
  private Step holding;

  private String heldBack;

  Managed(AgentCore core, AgentConfig.Instance config, Path folder) {
    this.core = core;
    this.config = config;
    this.pidFile = folder.resolve(config.name() + ".pid");
    this.log = new InstanceLog(folder.resolve(config.name() + ".log"));
    this.machine = new InstanceMachine(this, config.timing(), config.statusSocket() != null);
    this.sinceMillis = core.millis();
  }

  Step holding() {
    return holding;
  }

  /** Why the holding step, though it has ended, is not yet on record; null if it is under way. */
  String heldBack() {
    return heldBack;
  }

  /** Holds the instance for a step that is about to be put on record. */
  void hold(Step step) {
    holding = step;
    heldBack = null;
  }

  /** The step could not be put on record, or is. */
  void letGo() {
    holding = null;
    heldBack = null;
  }

  /** Takes over a process that runs already, if there is one. */
  void adopt() {
    ProcessId found = core.processes().adopt(pidFile);
    if (found != null) {
      adopted = true;
      stopAllowance.adopted();
      machine.adopt(core.now(), found);
    }
    rearm();
  }

  /** Looks whether a process that is no child of this agent still runs. */
  void poll() {
    ProcessId process = machine.process();
    if (adopted && process != null && !core.processes().runs(process)) {
      adopted = false;
      machine.gone(core.now(), process, null);
      rearm();
    }
  }

  void begin(Step step) {
    if (step.kind() == Kind.STOP || step.kind() == Kind.RESTART) {
      allowForDeadline();
    }
    machine.begin(core.now(), step);
    rearm();
  }

  void recover(Step step, Intent intent) {
    hold(step);
    allowForDeadline();
    machine.recover(core.now(), step, intent);
    rearm();
  }

  void mean(boolean run) {
    allowForDeadline();
    machine.mean(core.now(), run);
    rearm();
  }

  /** A stop has to leave time for the longest deadline that the running process has. */
  private void allowForDeadline() {
    if (config.stopFixed() || config.config() == null) {
      return;
    }
    NodeSays says = machine.says();
    long nanos =
        stopAllowance.nanos(NodeFile.read(config.config()), says == null ? null : says.digest());
    machine.stopWithin(nanos == 0 ? config.timing().stop() : nanos);
  }

  /** Sees to it that the machine is ticked when it wants to be. */
  private void rearm() {
    if (wake != null) {
      wake.cancel(false);
      wake = null;
    }
    long at = machine.wakeAt();
    if (at != Long.MAX_VALUE) {
      wake =
          core.schedule(
              () -> {
                machine.tick(core.now());
                rearm();
              },
              Math.max(0, at - core.now()),
              TimeUnit.NANOSECONDS);
    }
  }

  // What the machine decides.

  @Override
  public void launch() {
    Map<String, String> environment = new TreeMap<>(config.environment());
    if (config.config() != null) {
      environment.put("ROUTER_CONFIG", config.config().toString());
    }
    core.work(
        () -> {
          NodeFile startedWith = config.config() == null ? null : NodeFile.read(config.config());
          try {
            ProcessId id =
                core.processes()
                    .launch(
                        config.command(),
                        environment,
                        config.descriptors(),
                        config.folder(),
                        log.file(),
                        pidFile,
                        (process, code) ->
                            core.execute(
                                () -> {
                                  machine.gone(core.now(), process, code);
                                  rearm();
                                }));
            core.execute(
                () -> {
                  adopted = false;
                  stopAllowance.started(startedWith);
                  allowForDeadline();
                  machine.launched(core.now(), id);
                  rearm();
                });
          } catch (IOException e) {
            core.execute(
                () -> {
                  machine.notLaunched(core.now(), "cannot be started: " + e.getMessage());
                  rearm();
                });
          }
        });
  }

  @Override
  public void terminate(ProcessId process) {
    core.work(() -> core.processes().signal(process, "TERM"));
  }

  @Override
  public void kill(ProcessId process) {
    core.work(() -> core.processes().signal(process, "KILL"));
  }

  @Override
  public void hangUp(ProcessId process) {
    core.probe(AgentCore.Point.BEFORE_SIGNAL);
    core.work(
        () -> {
          core.processes().signal(process, "HUP");
          core.probe(AgentCore.Point.AFTER_SIGNAL);
        });
  }

  @Override
  public void look(ProcessId process) {
    look(process, () -> {});
  }

  private void look(ProcessId process, Runnable then) {
    core.statuses()
        .ask(
            config.statusSocket(),
            config.timing().look(),
            told ->
                core.execute(
                    () -> {
                      if (told == null) {
                        machine.noStatus(core.now(), process);
                      } else {
                        heardMillis = core.millis();
                        machine.status(core.now(), process, told);
                      }
                      rearm();
                      then.run();
                    }));
  }

  /** Asks the node for its status now, where it can be asked. */
  void refresh(Runnable then) {
    if (machine.process() == null || config.statusSocket() == null) {
      then.run();
    } else {
      look(machine.process(), then);
    }
  }

  @Override
  public void intend(Step step, Intent intent) {
    core.write(
        List.of(
            new RecordChange.StepIntends(
                step.operation(),
                step.instance(),
                step.attempt(),
                beamspread.fleet.api.Json.text(intent))),
        failure -> {
          if (failure == null) {
            machine.intended(core.now(), step);
          } else {
            machine.notIntended(step, failure);
          }
          rearm();
        });
  }

  @Override
  public String digest() {
    try {
      return NodeFile.digest(
          config.config() == null ? new byte[0] : Files.readAllBytes(config.config()));
    } catch (IOException e) {
      return "";
    }
  }

  @Override
  public void ended(Step step, Outcome outcome, String reason) {
    core.probe(AgentCore.Point.BEFORE_RESULT);
    core.event("step_ended", config.name(), step, outcome.word(), reason);
    record(
        step,
        new RecordChange.StepEnded(
            step.operation(),
            step.instance(),
            step.attempt(),
            outcome.word(),
            withLastLine(outcome, reason),
            core.millis()));
  }

  /** A failure is told with the last thing that the instance said. */
  private String withLastLine(Outcome outcome, String reason) {
    if (outcome != Outcome.FAILED || reason == null || !reason.contains("ended by itself")) {
      return reason;
    }
    List<String> last = log.tail(1);
    return last.isEmpty() ? reason : reason + "; last line: " + last.get(0);
  }

  /** The end of a step counts once it is on record; until then it is tried again. */
  private void record(Step step, RecordChange.StepEnded end) {
    core.write(
        List.of(end),
        failure -> {
          if (failure == null) {
            if (step.equals(holding)) {
              letGo();
            }
            core.stepRecorded(step.operation());
          } else {
            heldBack = end.outcome() + ", but that could not be put on record: " + failure;
            core.schedule(() -> record(step, end), AGAIN_MILLIS, TimeUnit.MILLISECONDS);
          }
        });
  }

  @Override
  public void changed(InstanceMachine.State state, String reason) {
    sinceMillis = core.millis();
    core.event("state", config.name(), null, state.word(), reason);
  }

  Api.InstanceView view(Api.Holder held) {
    NodeSays says = machine.says();
    ProcessId process = machine.process();
    return new Api.InstanceView(
        config.name(),
        core.name(),
        config.zone(),
        machine.state().word(),
        machine.run(),
        process == null ? null : process.pid(),
        sinceMillis,
        machine.reason(),
        machine.exits(core.now()),
        held,
        says == null ? null : says.whole(),
        says == null ? 0 : heardMillis);
  }
}
