package beamspread.chaos;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Agents with instances beside them, each a process of its own, and operators whose command lines
 * reach the agents over links.
 */
public final class RolloutScene implements Scene {
  /** Instances that an operation of the callers' may take out at a time. */
  private static final int MOST_OUT = 1;

  private static final long READY_SECONDS = 60;

  /** What an agent has on record; as many as it gives at once. */
  private static final String OPERATIONS = "/v1/operations?most=1000";

  /** Leases of who has died run out after 15 s. */
  private static final long RECOVERY_NANOS = 40_000_000_000L;

  private final int agents;
  private final int instances;
  private final Operators operators;
  private final Map<String, InetSocketAddress> listen = new TreeMap<>();
  private final Map<String, Program> programs = new LinkedHashMap<>();
  private final Map<String, Victim> victims = new LinkedHashMap<>();
  private final Map<String, Caller> callers = new LinkedHashMap<>();
  private final List<Thread> threads = new ArrayList<>();
  private InstanceWatch watch;
  private Caller last;
  private Stage stage;

  /**
   * Who steers the instances.
   *
   * @param count how many compete
   * @param leaseSeconds how long the fleet's lease lasts under which they work; 0 for none
   * @param judged whether what an earlier owner does late is judged: without a lease nothing keeps
   *     it from that but the agents' own leases
   * @param parts whether some of their operations concern one agent's instances alone
   */
  public record Operators(int count, int leaseSeconds, boolean judged, boolean parts) {
    /** Operators without a lease. */
    public static Operators unleased(int count) {
      return new Operators(count, 0, false, false);
    }

    /** The same, but that each operation concerns all instances. */
    Operators whole() {
      return new Operators(count, leaseSeconds, judged, false);
    }

    /** Operators under a lease, some of whose operations concern a part of the fleet. */
    public static Operators leased(int count, int leaseSeconds) {
      return new Operators(count, leaseSeconds, true, true);
    }
  }

  /**
   * A scene.
   *
   * @param instances beside each agent
   */
  public RolloutScene(int agents, int instances, Operators operators) {
    this.agents = agents;
    this.instances = instances;
    this.operators = operators;
  }

  private static String agent(int number) {
    return "agent-" + (number + 1);
  }

  private static String caller(int number) {
    return "caller-" + (number + 1);
  }

  @Override
  public List<Network.Link> links() {
    List<Network.Link> links = new ArrayList<>();
    for (int c = 0; c < operators.count(); c++) {
      for (int a = 0; a < agents; a++) {
        links.add(new Network.Link(caller(c), agent(a)));
      }
    }
    return links;
  }

  @Override
  public List<String> processes() {
    List<String> names = new ArrayList<>();
    for (int a = 0; a < agents; a++) {
      names.add(agent(a));
    }
    for (int c = 0; c < operators.count(); c++) {
      names.add(caller(c));
    }
    for (int i = 0; i < agents * instances; i++) {
      names.add("n" + i);
    }
    return names;
  }

  @Override
  public void begin(Stage on) throws Exception {
    stage = on;
    Map<String, Path> journals = new TreeMap<>();
    for (int a = 0; a < agents; a++) {
      startAgent(a, journals);
    }
    watch = new InstanceWatch(journals, on);
    thread("watch", watch);
    for (Program program : programs.values()) {
      program.awaitReady(READY_SECONDS);
    }
    awaitInstances(journals);
    last = new Caller("operator", listen, on, operators.whole());
    for (int c = 0; c < operators.count(); c++) {
      String name = caller(c);
      Map<String, InetSocketAddress> at = new TreeMap<>();
      for (var one : listen.entrySet()) {
        at.put(one.getKey(), on.relays().stream(name, one.getKey(), one::getValue));
      }
      Caller caller = new Caller(name, at, on, operators);
      callers.put(name, caller);
      victims.put(name, new DrivenVictim(caller::pid));
      thread(name, caller);
    }
  }

  private void startAgent(int number, Map<String, Path> journals) throws IOException {
    String name = agent(number);
    Path folder = Files.createDirectories(stage.folder().resolve(name));
    InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.free());
    listen.put(name, at);
    StringBuilder toml =
        new StringBuilder(
            """
            name = "%s"
            folder = "run"
            [api]
            listen = "127.0.0.1:%d"
            [defaults]
            start_s = 20
            stop_s = 3
            reload_s = 3
            backoff_first_s = 0.02
            backoff_longest_s = 0.1
            restarts = 1000
            """
                .formatted(name, at.getPort()));
    for (int i = number * instances; i < (number + 1) * instances; i++) {
      String instance = "n" + i;
      Path journal = folder.resolve(instance + ".journal");
      Path socket = folder.resolve(instance + ".sock");
      journals.put(instance, journal);
      Files.writeString(folder.resolve(instance + ".json"), "{\"version\":1}\n");
      List<String> command = Program.java(16);
      command.addAll(List.of("-cp", Program.classPath(), "beamspread.standin.StandInNode"));
      command.addAll(List.of(socket.toString(), journal.toString()));
      StringBuilder words = new StringBuilder();
      command.forEach(word -> words.append('"').append(word).append("\", "));
      toml.append(
          """
          [[instance]]
          name = "%s"
          command = [%s]
          config = "%s.json"
          status_socket = "%s.sock"
          """
              .formatted(instance, words, instance, instance));
      victims.put(instance, new DrivenVictim(() -> watch.pid(instance)));
    }
    Files.writeString(folder.resolve("agent.toml"), toml);
    Program program =
        new Program(
            name,
            Program.operations(64, "agent", "--config", "agent.toml"),
            Map.of(),
            folder,
            () -> Ports.listens(at),
            stage.history());
    programs.put(name, program);
    victims.put(name, new ProgramVictim(program, List.of()));
    program.start();
  }

  private void awaitInstances(Map<String, Path> journals) throws Exception {
    long until = System.nanoTime() + READY_SECONDS * 1_000_000_000L;
    while (!journals.keySet().stream().allMatch(name -> watch.pid(name) > 0)) {
      if (System.nanoTime() > until) {
        throw new IOException("not all instances run after " + READY_SECONDS + " s");
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    // What an agent says of them is what operators go by.
    Caller first = new Caller("first", listen, stage, Operators.unleased(1));
    if (first.operate("reload") != 0) {
      throw new IOException("the agents do not steer their instances");
    }
  }

  private void thread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  @Override
  public Victim victim(String process) {
    return victims.get(process);
  }

  @Override
  public void end() throws Exception {
    callers.values().forEach(Caller::stop);
    for (Thread thread : threads) {
      if (callers.containsKey(thread.getName())) {
        thread.join((Caller.LONGEST_SECONDS + 10) * 1000);
      }
    }
    // Once nothing befalls anybody, everything can be done again.
    long from = System.nanoTime();
    int code = -1;
    while (code != 0 && System.nanoTime() - from < RECOVERY_NANOS) {
      code = last.operate("restart");
      if (code != 0) {
        TimeUnit.MILLISECONDS.sleep(500);
      }
    }
    if (code != 0) {
      stage.tell(
          History.What.SEEN,
          "operator",
          "a restart of all still ends with exit code " + code,
          "unhealed",
          true);
    }
    if (operators.judged()) {
      tellSteps();
    }
    // The watch sees the last change within some milliseconds.
    TimeUnit.MILLISECONDS.sleep(200);
    watch.stop();
  }

  /** A step that an agent has on record. */
  private record Step(String agent, long beganMs, String by, String what) {}

  /** Tells what all agents have on record of steps, in the order in which they were begun. */
  private void tellSteps() throws Exception {
    List<Step> steps = new ArrayList<>();
    for (var one : listen.entrySet()) {
      steps.addAll(steps(one.getKey(), one.getValue()));
    }
    // Agents run on one machine: its clock says what came first.
    steps.sort(Comparator.comparingLong(Step::beganMs));
    for (Step step : steps) {
      stage.tell(
          History.What.SEEN,
          step.agent(),
          step.what(),
          LeaseJudge.STEP_AGENT,
          step.agent(),
          LeaseJudge.STEP_BY,
          step.by(),
          LeaseJudge.STEP_BEGAN,
          step.beganMs());
    }
  }

  private static List<Step> steps(String agent, InetSocketAddress at) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + at.getPort() + OPERATIONS);
    HttpRequest request = HttpRequest.newBuilder(uri).build();
    String text =
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
    List<Step> steps = new ArrayList<>();
    for (Api.OperationView view : Json.read(text, Api.Operations.class).operations()) {
      for (Api.StepView step : view.steps()) {
        String what = step.kind().word() + " of " + step.instance() + " by " + view.by();
        steps.add(new Step(agent, step.beganMs(), view.by(), what));
      }
    }
    return steps;
  }

  @Override
  public List<Breach> judge(List<History.Event> events) {
    List<Breach> breaches = new ArrayList<>(RolloutJudge.judge(MOST_OUT, events));
    breaches.addAll(LeaseJudge.judge(events, operators.leaseSeconds() > 0));
    for (History.Event event : events) {
      if (event.facts().containsKey("unhealed")) {
        breaches.add(
            new Breach(
                "no recovery",
                event.says() + " " + RECOVERY_NANOS / 1_000_000_000L + " s after the last fault",
                event.atNanos() - RECOVERY_NANOS,
                event.atNanos(),
                Set.of(event.who()),
                Map.of()));
      }
    }
    return breaches;
  }

  @Override
  public void clear() throws Exception {
    callers.values().forEach(Caller::stop);
    for (Caller caller : callers.values()) {
      caller.kill();
    }
    for (Program program : programs.values()) {
      program.kill();
    }
    for (int i = 0; stage != null && i < agents * instances; i++) {
      String instance = "n" + i;
      long seen = watch == null ? -1 : watch.pid(instance);
      endLeftBehind(instance, seen, stage.folder().resolve(agent(i / instances)));
    }
    if (watch != null) {
      watch.stop();
    }
    for (Thread thread : threads) {
      thread.join(10_000);
    }
  }

  /**
   * The instances outlive their agent; not the run. Only what was started here is ended.
   *
   * @param seen the process that was seen last, which is known also where the folder is gone
   */
  private static void endLeftBehind(String instance, long seen, Path folder) throws IOException {
    Path pidFile = folder.resolve("run").resolve(instance + ".pid");
    if (Files.exists(pidFile)) {
      String pid = Files.readString(pidFile).split(" ")[0];
      if (pid.matches("[0-9]+")) {
        endIfStartedIn(folder, Long.parseLong(pid));
      }
    }
    endIfStartedIn(folder, seen);
  }

  private static void endIfStartedIn(Path folder, long pid) throws IOException {
    Path command = Path.of("/proc", Long.toString(pid), "cmdline");
    if (Files.exists(command) && Files.readString(command).contains(folder.toString())) {
      ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
    }
  }

  /** A process that somebody else starts again: an instance its agent, a command its operator. */
  private record DrivenVictim(LongSupplier pid) implements Victim {
    @Override
    public void signal(String signal) throws IOException, InterruptedException {
      long now = pid.getAsLong();
      if (Program.runs(now)) {
        Program.signal(signal, now);
      }
    }

    @Override
    public void kill() throws IOException, InterruptedException {
      signal("KILL");
    }

    @Override
    public void startAgain(boolean fresh) {
      // Whoever drives it does.
    }
  }
}
