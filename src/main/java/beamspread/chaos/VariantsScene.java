package beamspread.chaos;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.Selection;
import beamspread.fleet.api.Api;
import beamspread.standin.Discovery;
import beamspread.standin.NodeConfigFile;
import beamspread.standin.VariantOrigin;
import beamspread.standin.VariantValues;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/**
 * Owners that compete for a table of variants, agents between them and the nodes, and nodes under
 * clients, each a process of its own. Meanwhile values come to differ, elsewhere and by a write
 * through a node. What owners say to agents and nodes ask of them goes over links.
 */
public final class VariantsScene implements Scene {
  private static final long READY_SECONDS = 60;
  private static final long AGREEMENT_SECONDS = 20;
  private static final long WATCH_MILLIS = 50;
  private static final int SERVERS = 2;
  private static final double HOLD_SECONDS = 1;
  private static final int SLOTS = 4;
  private static final double SLOT_SECONDS = 0.25;

  /**
   * A value may be another variant's for so long: three rounds of comparisons, and the time until a
   * split is known everywhere.
   */
  static final long MOST_STALE_NANOS =
      (long) ((3 * SLOTS * SLOT_SECONDS + HOLD_SECONDS * 5 / 3) * 1e9);

  private static final String RULES =
      """
      {"fleet":"main","hold_s":%s,"rest_s":30,"slots":%d,"slot_s":%s,"rules":[
       {"prefix":"page/","separator":"/","field":0,
        "classes":["phone","tablet","desktop","watch"],"requests":["read"],"max_age_s":10,
        "same":["phone+tablet+desktop+watch"]}]}
      """
          .formatted(HOLD_SECONDS, SLOTS, SLOT_SECONDS);

  private final int agents;
  private final int nodes;
  private final int owners;
  private final VariantValues values = new VariantValues();
  private final Map<String, Program> programs = new LinkedHashMap<>();
  private final Map<String, InetSocketAddress> agentAt = new LinkedHashMap<>();
  private final List<VariantClient> clients = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final List<VariantOrigin> servers = new ArrayList<>();
  private MultiThreadIoEventLoopGroup group;
  private Discovery discovery;
  private Stage stage;
  private volatile boolean ended;

  /** A scene of so many of each. */
  public VariantsScene(int agents, int nodes, int owners) {
    this.agents = agents;
    this.nodes = nodes;
    this.owners = owners;
  }

  private static String agent(int number) {
    return "agent-" + (number + 1);
  }

  private static String owner(int number) {
    return "owner-" + (number + 1);
  }

  private static String node(int number) {
    return "n" + number;
  }

  private String agentOf(int node) {
    return agent(node % agents);
  }

  @Override
  public List<Network.Link> links() {
    List<Network.Link> links = new ArrayList<>();
    for (int o = 0; o < owners; o++) {
      for (int a = 0; a < agents; a++) {
        links.add(new Network.Link(owner(o), agent(a)));
      }
    }
    for (int n = 0; n < nodes; n++) {
      links.add(new Network.Link(node(n), agentOf(n)));
    }
    return links;
  }

  @Override
  public List<String> processes() {
    List<String> names = new ArrayList<>();
    IntStream.range(0, agents).forEach(a -> names.add(agent(a)));
    IntStream.range(0, owners).forEach(o -> names.add(owner(o)));
    IntStream.range(0, nodes).forEach(n -> names.add(node(n)));
    return names;
  }

  @Override
  public void begin(Stage on) throws Exception {
    stage = on;
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Files.writeString(on.folder().resolve("variants.json"), RULES);
    for (int s = 0; s < SERVERS; s++) {
      servers.add(new VariantOrigin(group.next(), values));
    }
    discovery = new Discovery(group.next(), this::list);
    for (int a = 0; a < agents; a++) {
      startAgent(a);
    }
    List<InetSocketAddress> nodeAt = new ArrayList<>();
    for (int n = 0; n < nodes; n++) {
      nodeAt.add(startNode(n));
    }
    for (Program program : programs.values()) {
      program.awaitReady(READY_SECONDS);
    }
    for (int o = 0; o < owners; o++) {
      startOwner(o);
    }
    for (int n = 0; n < nodes; n++) {
      VariantClient client = new VariantClient(node(n), agentOf(n), nodeAt.get(n), values, on);
      clients.add(client);
      thread(client);
    }
    awaitAgreement();
    thread(this::watchTables);
    thread(this::changeValues);
  }

  /** Tells when each agent begins and ceases to hold a table that merges. */
  private void watchTables() {
    Map<String, Boolean> before = new HashMap<>();
    try (Fleet fleet = fleet()) {
      while (!ended) {
        fleet
            .ask(Selection.all(), client -> merges(client.variants("main")))
            .answers()
            .forEach((agent, held) -> tellIfChanged(agent, held, before));
        TimeUnit.MILLISECONDS.sleep(WATCH_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      stage.tell(History.What.SEEN, Run.RIG, "agents cannot be watched: " + e.getMessage());
    }
  }

  /** Whether an agent holds a table by which keys are replaced. */
  private static boolean merges(Api.VariantView view) {
    return view.text() != null && view.text().contains("\nrow ");
  }

  private void tellIfChanged(String agent, boolean held, Map<String, Boolean> before) {
    Boolean was = before.put(agent, held);
    if (was == null || was != held) {
      stage.tell(
          History.What.SEEN,
          agent,
          held ? "holds a table that merges" : "holds none that merges",
          VariantsJudge.TABLE_AGENT,
          agent,
          VariantsJudge.TABLE_HELD,
          held);
    }
  }

  private void thread(Runnable task) {
    Thread thread = new Thread(task, "variants-scene");
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  private String list() {
    return Discovery.listAt(1, servers.stream().map(VariantOrigin::address).toList());
  }

  private void startAgent(int number) throws IOException {
    String name = agent(number);
    Path folder = Files.createDirectories(stage.folder().resolve(name));
    InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.free());
    agentAt.put(name, at);
    Files.writeString(
        folder.resolve("agent.toml"),
        "name = \"%s\"\nfolder = \"run\"\n[api]\nlisten = \"127.0.0.1:%d\"\n"
            .formatted(name, at.getPort()));
    start(
        name,
        folder,
        Program.operations(48, "agent", "--config", "agent.toml"),
        Map.of(),
        () -> Ports.listens(at));
  }

  private void start(
      String name,
      Path folder,
      List<String> words,
      Map<String, String> environment,
      BooleanSupplier ready)
      throws IOException {
    Program program = new Program(name, words, environment, folder, ready, stage.history());
    programs.put(name, program);
    program.start();
  }

  private void startOwner(int number) throws IOException, InterruptedException {
    String name = owner(number);
    StringBuilder toml = new StringBuilder("answer_s = 0.5\n");
    for (var agent : agentAt.entrySet()) {
      int port = stage.relays().stream(name, agent.getKey(), agent::getValue).getPort();
      toml.append(
          "[[agent]]\nname = \"%s\"\nurl = \"http://127.0.0.1:%d\"\n"
              .formatted(agent.getKey(), port));
    }
    toml.append(
        "[lease]\nduration_s = 1\nfile = \"%s\"\n".formatted(stage.folder().resolve("leases.db")));
    Path folder = Files.createDirectories(stage.folder().resolve(name));
    Files.writeString(folder.resolve("fleet.toml"), toml);
    start(
        name,
        folder,
        Program.operations(
            48, "variants", "-i", "fleet.toml", "run", "../variants.json", "--by", name),
        Map.of(),
        () -> true);
  }

  private InetSocketAddress startNode(int number) throws IOException, InterruptedException {
    String name = node(number);
    Path folder = Files.createDirectories(stage.folder().resolve(name));
    InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.free());
    InetSocketAddress agent =
        stage.relays().stream(name, agentOf(number), () -> agentAt.get(agentOf(number)));
    String fields =
        "\"variants_file\":\"%s\",\"variants_agent\":\"127.0.0.1:%d\","
            .formatted(stage.folder().resolve("variants.json"), agent.getPort());
    String text =
        NodeConfigFile.text(name, number, nodes, discovery.address(), list(), Path.of("none"))
            .replace("\"status_socket\":\"none\",", "")
            .replaceFirst("\\{", "{" + fields)
            .replace("127.0.0.1:0", "127.0.0.1:" + at.getPort());
    Path config = Files.writeString(folder.resolve("node.json"), text);
    List<String> words = Program.java(32);
    words.addAll(
        List.of(
            "-Dio.netty.jfr.enabled=false",
            "-cp",
            Program.classPath(),
            "beamspread.Main",
            "serve"));
    start(
        name,
        folder,
        words,
        Map.of("ROUTER_CONFIG", config.toString(), "TMPDIR", folder.toString()),
        () -> Ports.greets(at));
    return at;
  }

  /** One variant comes to differ elsewhere, and then another by a write through a node. */
  private void changeValues() {
    SplittableRandom random = new SplittableRandom(stage.seed());
    try {
      TimeUnit.MILLISECONDS.sleep(500 + random.nextInt(2000));
      String elsewhere = VariantClient.key(1 + random.nextInt(3), random.nextInt(2));
      values.change(elsewhere, "changed");
      stage.tell(History.What.SEEN, "values", elsewhere + " has another value");
      TimeUnit.MILLISECONDS.sleep(500 + random.nextInt(2000));
      String written = VariantClient.key(1 + random.nextInt(3), 2 + random.nextInt(2));
      clients.get(random.nextInt(clients.size())).write(written);
      stage.tell(History.What.SEEN, "values", written + " is written");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Fleet fleet() throws IOException {
    List<Inventory.AgentEntry> entries = new ArrayList<>();
    agentAt.forEach(
        (name, at) ->
            entries.add(
                new Inventory.AgentEntry(
                    name, URI.create("http://127.0.0.1:" + at.getPort()), null, null)));
    return new Fleet(new Inventory(entries, 1_000_000_000L, 1_000_000_000L));
  }

  /** Waits until all agents and nodes hold one table; tells so if they do not. */
  private void awaitAgreement() throws Exception {
    long until = System.nanoTime() + AGREEMENT_SECONDS * 1_000_000_000L;
    String views = "";
    try (Fleet fleet = fleet()) {
      while (System.nanoTime() < until) {
        Fleet.Answers<Api.VariantView> answers =
            fleet.ask(Selection.all(), client -> client.variants("main"));
        views = answers.answers().values() + " " + failures(answers.failures());
        if (agree(answers)) {
          return;
        }
        TimeUnit.MILLISECONDS.sleep(50);
      }
    }
    stage.tell(
        History.What.SEEN,
        Run.RIG,
        "not all hold one table after " + AGREEMENT_SECONDS + " s: " + views,
        VariantsJudge.DIFFER,
        true);
  }

  private static String failures(Map<String, AgentCallException> failures) {
    return failures.values().stream().map(Throwable::getMessage).toList().toString();
  }

  private boolean agree(Fleet.Answers<Api.VariantView> answers) {
    List<String> versions = new ArrayList<>();
    int held = 0;
    for (Api.VariantView view : answers.answers().values()) {
      held += view.text() == null ? 0 : 1;
      versions.add(view.version());
      view.nodes().forEach(node -> versions.add(node.version()));
    }
    return held == agents
        && versions.size() == agents + nodes
        && versions.stream().distinct().count() == 1;
  }

  @Override
  public Victim victim(String process) {
    return new ProgramVictim(programs.get(process), List.of());
  }

  @Override
  public void end() throws Exception {
    awaitAgreement();
    ended = true;
    clients.forEach(VariantClient::stop);
    Map<String, Long> asked = values.asked();
    long all = asked.values().stream().mapToLong(Long::longValue).sum();
    long first =
        asked.entrySet().stream()
            .filter(one -> one.getKey().contains("/" + VariantClient.CLASSES[0] + "/"))
            .mapToLong(Map.Entry::getValue)
            .sum();
    stage.tell(
        History.What.SEEN,
        "servers",
        first + " of " + all + " reads were for the class that stands for the others",
        "reads",
        all,
        "canonical_reads",
        first);
  }

  @Override
  public List<Breach> judge(List<History.Event> events) {
    return VariantsJudge.judge(events, MOST_STALE_NANOS);
  }

  @Override
  public void clear() throws Exception {
    clients.forEach(VariantClient::stop);
    for (Program program : programs.values()) {
      program.kill();
    }
    for (Thread thread : threads) {
      thread.interrupt();
      thread.join(5000);
    }
    servers.forEach(VariantOrigin::close);
    if (discovery != null) {
      discovery.close();
    }
    if (group != null) {
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
