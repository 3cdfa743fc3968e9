package beamspread.chaos;

import beamspread.standin.CacheServer;
import beamspread.standin.Discovery;
import beamspread.standin.LoadClients;
import beamspread.standin.NodeConfigFile;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * Nodes, each a process of its own, between clients and stand-in cache servers. All that clients
 * send to nodes, and nodes to cache servers, goes over links.
 */
public final class NodesScene implements Scene {
  static final String CLIENTS = "clients";
  private static final long READY_SECONDS = 60;
  private static final long ANSWER_MICROS = 2000;
  private static final int SERVER_CONNECTIONS = 256;

  /**
   * What the platform's bench gives an answer that comes late: it earns nothing, but is none lost.
   */
  private static final long SLACK_MILLIS = 500;

  private static final long MOST_REQUESTS = 1_000_000;

  private final int nodes;
  private final int servers;
  private final double rate;
  private final boolean tier;
  private MultiThreadIoEventLoopGroup group;
  private final Map<String, Node> all = new LinkedHashMap<>();
  private final Map<InetSocketAddress, String> names = new HashMap<>();
  private final List<CacheServer> boxes = new ArrayList<>();
  private final List<List<InetSocketAddress>> peers = new ArrayList<>();
  private TierWatch watch;
  private LoadClients clients;
  private ScheduledFuture<?> counting;
  private LoadClients.Counts before = new LoadClients.Counts(0, 0, 0, 0, 0, 0);
  private Stage stage;

  /**
   * A scene.
   *
   * @param rate requests a second over all nodes
   */
  public NodesScene(int nodes, int servers, double rate) {
    this(nodes, servers, rate, false);
  }

  /**
   * The same.
   *
   * @param tier whether the nodes know one another: then what they send one another goes over links
   */
  public NodesScene(int nodes, int servers, double rate, boolean tier) {
    this.nodes = nodes;
    this.servers = servers;
    this.rate = rate;
    this.tier = tier;
  }

  private static String node(int number) {
    return "n" + number;
  }

  private static String server(int number) {
    return "server-" + (number + 1);
  }

  @Override
  public List<Network.Link> links() {
    List<Network.Link> links = new ArrayList<>();
    for (int n = 0; n < nodes; n++) {
      links.add(new Network.Link(CLIENTS, node(n)));
      for (int s = 0; s < servers; s++) {
        links.add(new Network.Link(node(n), server(s)));
      }
      for (int other = n + 1; tier && other < nodes; other++) {
        links.add(new Network.Link(node(n), node(other)));
      }
    }
    return links;
  }

  @Override
  public List<String> processes() {
    return IntStream.range(0, nodes).mapToObj(NodesScene::node).toList();
  }

  @Override
  public boolean upgrades() {
    return true;
  }

  @Override
  public void begin(Stage on) throws Exception {
    stage = on;
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    for (int s = 0; s < servers; s++) {
      boxes.add(new CacheServer(group.next(), ANSWER_MICROS, SERVER_CONNECTIONS));
    }
    List<InetSocketAddress> asked = new ArrayList<>();
    if (tier) {
      joinAll();
    }
    for (int n = 0; n < nodes; n++) {
      Node node = new Node(n);
      all.put(node(n), node);
      node.current = node.program();
      node.socket = node.nextSocket;
      node.current.start();
      InetSocketAddress at = on.relays().stream(CLIENTS, node(n), () -> node.at);
      names.put(at, node(n));
      asked.add(at);
    }
    for (Node node : all.values()) {
      node.current.awaitReady(READY_SECONDS);
    }
    clients = new LoadClients(group.next(), () -> asked, on.seed(), SLACK_MILLIS, this::notServed);
    clients.run(MOST_REQUESTS, rate);
    counting = group.next().scheduleAtFixedRate(this::count, 500, 500, TimeUnit.MILLISECONDS);
    // What is judged is a fleet that serves; its first requests warm it.
    awaitServed(rate);
    if (tier) {
      Map<String, Supplier<Path>> sockets = new LinkedHashMap<>();
      all.forEach((name, node) -> sockets.put(name, () -> node.socket));
      watch = new TierWatch(sockets, on);
      Thread thread = new Thread(watch, "tier-watch");
      thread.setDaemon(true);
      thread.start();
      watch.awaitAgreement(READY_SECONDS);
    }
  }

  /** A relay for each pair; each node is told the relays' doors as its peers. */
  private void joinAll() throws IOException, InterruptedException {
    InetSocketAddress[] real = new InetSocketAddress[nodes];
    for (int n = 0; n < nodes; n++) {
      real[n] = Ports.freeDatagrams();
    }
    for (int n = 0; n < nodes; n++) {
      peers.add(new ArrayList<>(List.of(real)));
    }
    for (int n = 0; n < nodes; n++) {
      for (int other = n + 1; other < nodes; other++) {
        UdpRelay relay = stage.relays().datagrams(node(n), real[n], node(other), real[other]);
        peers.get(n).set(other, relay.otherAsOneSees());
        peers.get(other).set(n, relay.oneAsOtherSees());
      }
    }
    Files.writeString(stage.folder().resolve("tier.json"), "{\"tier\":\"chaos\"}");
  }

  private void awaitServed(double requests) throws Exception {
    long until = System.nanoTime() + READY_SECONDS * 1_000_000_000L;
    while (clients.counts().get(10, TimeUnit.SECONDS).served() < requests) {
      if (System.nanoTime() > until) {
        throw new IOException("the nodes do not serve " + requests + " requests");
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  private void notServed(LoadClients.End end) {
    List<String> tried = end.tried().stream().map(names::get).toList();
    stage.tell(
        History.What.TOLD,
        CLIENTS,
        (end.write() ? "write of " : "read of ")
            + end.key()
            + " "
            + end.fate()
            + ", asked "
            + (tried.isEmpty() ? "nobody" : String.join(", ", tried)),
        "fate",
        end.fate(),
        "waited",
        System.nanoTime() - end.askedAt(),
        "tried",
        tried);
  }

  private void count() {
    clients
        .counts()
        .thenAccept(
            now -> {
              LoadClients.Counts past = before;
              before = now;
              stage.tell(
                  History.What.SEEN,
                  CLIENTS,
                  "%d asked, %d served, %d refused, %d failed, %d lost"
                      .formatted(
                          now.asked() - past.asked(),
                          now.served() - past.served(),
                          now.refused() - past.refused(),
                          now.failed() - past.failed(),
                          now.lost() - past.lost()),
                  "asked",
                  now.asked() - past.asked(),
                  "served",
                  now.served() - past.served());
            });
  }

  @Override
  public Victim victim(String process) {
    return all.get(process);
  }

  @Override
  public void end() throws Exception {
    clients.stop();
    long until = System.nanoTime() + READY_SECONDS * 1_000_000_000L;
    while (clients.counts().get(10, TimeUnit.SECONDS).open() > 0 && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    counting.cancel(false);
    if (watch != null) {
      watch.awaitAgreement(TierJudge.AGREEMENT_SECONDS);
      watch.stop();
    }
    for (Node node : all.values()) {
      if (!node.answers()) {
        stage.tell(History.What.SEEN, node.name, "does not answer in the end", "unhealed", true);
      }
    }
  }

  @Override
  public List<Breach> judge(List<History.Event> events) {
    List<Breach> breaches = new ArrayList<>(RequestsJudge.judge(events));
    if (tier) {
      breaches.addAll(TierJudge.judge(processes(), events));
    }
    return breaches;
  }

  @Override
  public void clear() throws Exception {
    if (counting != null) {
      counting.cancel(false);
    }
    if (watch != null) {
      watch.stop();
    }
    for (Node node : all.values()) {
      node.close();
    }
    boxes.forEach(CacheServer::close);
    if (group != null) {
      group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  /** A node; while it is upgraded, two processes of it. */
  private final class Node implements Victim {
    private final String name;
    private final int number;
    private final InetSocketAddress at;
    private final Discovery discovery;
    private final Path folder;
    private final String list;
    private Program current;
    private Program next;
    private final List<Program> former = new ArrayList<>();
    private int nextMgmt;
    private Path nextSocket;
    private volatile Path socket;
    private int versions;

    Node(int number) throws IOException, InterruptedException {
      this.number = number;
      name = node(number);
      folder = Files.createDirectories(stage.folder().resolve(name));
      at = new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.free());
      List<String> entries = new ArrayList<>();
      for (int s = 0; s < servers; s++) {
        InetSocketAddress real = boxes.get(s).address();
        int port = stage.relays().stream(name, server(s), () -> real).getPort();
        entries.add(
            ("{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"box\","
                    + "\"state\":\"active\",\"weight\":1.0}")
                .formatted(server(s), port));
      }
      list = "{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
      discovery = new Discovery(group.next(), () -> list);
    }

    /** A process of this node; the next one shares its addresses and takes over what it knows. */
    Program program() throws IOException {
      nextMgmt = Ports.free();
      nextSocket = folder.resolve("status" + ++versions + ".sock");
      String status = tier ? nextSocket.toString() : "none";
      String text =
          NodeConfigFile.text(name, number, nodes, discovery.address(), list, Path.of(status))
              .replace("\"status_socket\":\"none\",", "")
              .replaceFirst("\\{", "{\"mgmt\":\"127.0.0.1:" + nextMgmt + "\"," + tierFields())
              .replace("127.0.0.1:0", "127.0.0.1:" + at.getPort());
      Path config = folder.resolve("node" + versions + ".json");
      Files.writeString(config, text);
      List<String> words = Program.java(32);
      words.addAll(
          List.of(
              "-Dio.netty.jfr.enabled=false",
              "-cp",
              Program.classPath(),
              "beamspread.Main",
              "serve"));
      return new Program(
          name,
          words,
          Map.of("ROUTER_CONFIG", config.toString(), "TMPDIR", folder.toString()),
          folder,
          this::answers,
          stage.history());
    }

    private String tierFields() {
      if (!tier) {
        return "";
      }
      List<String> addresses =
          peers.get(number).stream().map(one -> "\"127.0.0.1:" + one.getPort() + "\"").toList();
      return "\"peer_listen\":%s,\"peers\":[%s],\"tier_file\":\"%s\","
          .formatted(
              addresses.get(number),
              String.join(",", addresses),
              stage.folder().resolve("tier.json"));
    }

    boolean answers() {
      return Ports.greets(at);
    }

    @Override
    public void signal(String signal) throws IOException, InterruptedException {
      current.signal(signal);
    }

    @Override
    public void kill() throws InterruptedException {
      current.kill();
    }

    @Override
    public void startAgain(boolean fresh) throws IOException, InterruptedException {
      current.end();
      current.start();
    }

    @Override
    public void startBeside() throws IOException {
      if (next == null) {
        next = program();
        next.start();
      }
    }

    @Override
    public void endUpgrade() throws IOException, InterruptedException {
      if (next == null) {
        return;
      }
      if (next.alive() && ready()) {
        current.signal("TERM");
        former.add(current);
        current = next;
        socket = nextSocket;
      } else {
        // As an operator would: the new one never says yes, so the old one serves on.
        stage.tell(History.What.SEEN, name, "the new process is not ready, and is ended");
        next.kill();
      }
      next = null;
    }

    private boolean ready() {
      try (Socket socket = new Socket(at.getAddress(), nextMgmt)) {
        socket.setSoTimeout(1000);
        socket
            .getOutputStream()
            .write(
                "GET /_ready HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
        byte[] begin = socket.getInputStream().readNBytes(12);
        return new String(begin, StandardCharsets.US_ASCII).endsWith(" 200");
      } catch (IOException e) {
        return false;
      }
    }

    void close() throws InterruptedException {
      for (Program one : former) {
        one.kill();
      }
      if (next != null) {
        next.kill();
      }
      if (current != null) {
        current.kill();
      }
      discovery.close();
    }
  }
}
