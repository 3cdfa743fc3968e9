package beamspread.cli;

import beamspread.agent.Agent;
import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.VariantPublisher;
import beamspread.fleet.WorkLease;
import beamspread.fleet.api.Api;
import beamspread.lease.FencingToken;
import beamspread.node.variants.VariantFileReader;
import beamspread.standin.CacheServer;
import beamspread.standin.CountingProxy;
import beamspread.standin.Discovery;
import beamspread.standin.NodeConfigFile;
import beamspread.variants.VariantFile;
import beamspread.variants.VariantKeys;
import beamspread.variants.VariantTable;
import beamspread.variants.VariantVersion;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** What a shared table of variants costs by its size: memory, and calls at rest. */
@Command(
    name = "variant-table",
    description =
        "Measures what a table of variants takes in a node's memory, and what a real node's and"
            + " the owner's calls to an agent take on the wire while nothing changes.",
    mixinStandardHelpOptions = true,
    footer = {"", "Example: ./beamspread measure variant-table --families 10,1024"})
final class MeasureVariantTable implements Callable<Integer> {
  private static final String FLEET = "main";
  private static final int MOST_FAMILIES = 1024;
  private static final int COPIES = 50;
  private static final long SETTLE_SECONDS = 30;
  private static final double MEMORY_AIM_MB = 2;
  private static final double TRAFFIC_AIM = 200;
  private static final String CLASSES = "phone+tablet+desktop+watch";

  @Option(
      names = "--families",
      split = ",",
      defaultValue = "10,1024",
      description = "rows of the table, 1 to 1024 each (default: ${DEFAULT-VALUE})")
  private List<Integer> families;

  @Option(names = "--seconds", defaultValue = "30", description = "at rest (default: 30)")
  private int seconds;

  @Option(names = "--jar", defaultValue = "target/beamspread.jar", description = "node jar")
  private Path jar;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /**
   * A node that holds a table, at rest.
   *
   * @param nodeBytes a second on the wire, of both directions, between it and its agent
   * @param ownerBytes the same between the owner and the agent
   * @param residentMb what the node takes of the machine's memory
   */
  private record AtRest(double nodeBytes, double ownerBytes, double residentMb) {}

  @Override
  public Integer call() throws Exception {
    Bounds.check(spec.commandLine(), "--seconds", seconds, 10, 600);
    for (int count : families) {
      Bounds.check(spec.commandLine(), "--families", count, 1, MOST_FAMILIES);
    }
    PrintWriter out = spec.commandLine().getOut();
    Table table =
        new Table("FAMILIES", "MB IN A NODE", "NODE BYTES/S", "OWNER BYTES/S", "RESIDENT MB");
    boolean good = true;
    for (int count : families) {
      VariantFile file = VariantFileReader.read(rules(count));
      double megabytes = megabytes(file);
      AtRest rest = atRest(count, file);
      good &= megabytes <= MEMORY_AIM_MB && rest.nodeBytes() <= TRAFFIC_AIM;
      table.row(
          count,
          Table.decimal(megabytes, 3),
          Table.decimal(rest.nodeBytes(), 0),
          Table.decimal(rest.ownerBytes(), 0),
          Table.decimal(rest.residentMb(), 1));
    }
    table.print(out);
    out.flush();
    return good ? 0 : 1;
  }

  private static String rules(int count) {
    List<String> rules = new ArrayList<>();
    String classes = '"' + CLASSES.replace("+", "\",\"") + '"';
    for (int i = 0; i < count; i++) {
      rules.add(
          ("{\"prefix\":\"family%d/\",\"separator\":\"/\",\"field\":0,\"classes\":[%s],"
                  + "\"requests\":[\"read\"],\"max_age_s\":60,\"same\":[\"%s\"]}")
              .formatted(i, classes, CLASSES));
    }
    return "{\"fleet\":\"main\",\"hold_s\":10,\"rules\":[" + String.join(",", rules) + "]}";
  }

  /** What a table in force takes on the heap, of many copies. */
  private static double megabytes(VariantFile file) throws Exception {
    VariantTable table = VariantTable.of(FLEET, new VariantVersion(1, 1), file.rows());
    List<VariantKeys> held = new ArrayList<>();
    long before = usedBytes();
    for (int i = 0; i < COPIES; i++) {
      VariantKeys keys = new VariantKeys(file.settings(), file.rules());
      // Read anew, as a node does; its own text is what came.
      keys.offer(
          0, VariantTable.parse(new String(table.text()), table.digest()), Long.MAX_VALUE / 2);
      keys.rewrite(0, "family0/tablet/1", "read");
      held.add(keys);
    }
    double each = (usedBytes() - before) / (double) held.size();
    return each / 1e6;
  }

  private static long usedBytes() throws InterruptedException {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
      TimeUnit.MILLISECONDS.sleep(50);
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private AtRest atRest(int count, VariantFile file) throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    ScheduledExecutorService publishing = Executors.newSingleThreadScheduledExecutor();
    try (Scratch scratch = new Scratch()) {
      Agent agent = scratch.agent("agent-1", 0, 0, i -> "");
      InetSocketAddress at =
          new InetSocketAddress(
              InetAddress.getLoopbackAddress(), URI.create(agent.url()).getPort());
      Path rules = scratch.folder().resolve("variants.json");
      Files.writeString(rules, rules(count));
      try (CountingProxy toNode = new CountingProxy(at);
          CountingProxy toOwner = new CountingProxy(at);
          Fleet fleet = fleet(toOwner.address());
          NodeProcess node = node(scratch, group, rules, toNode.address())) {
        VariantPublisher publisher =
            new VariantPublisher(fleet, WorkLease.of(new FencingToken("variants/main", 1)), file);
        long every = file.settings().pullIntervalNanos();
        publishing.scheduleAtFixedRate(publisher::round, 0, every, TimeUnit.NANOSECONDS);
        awaitTable(agent);
        long nodeBefore = toNode.bytes();
        long ownerBefore = toOwner.bytes();
        TimeUnit.SECONDS.sleep(seconds);
        return new AtRest(
            (toNode.bytes() - nodeBefore) / (double) seconds,
            (toOwner.bytes() - ownerBefore) / (double) seconds,
            node.residentKb() / 1000.0);
      }
    } finally {
      publishing.shutdownNow();
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  private static Fleet fleet(InetSocketAddress agent) throws IOException {
    URI uri = URI.create("http://127.0.0.1:" + agent.getPort());
    Inventory.AgentEntry entry = new Inventory.AgentEntry("agent-1", uri, null, null);
    return new Fleet(new Inventory(List.of(entry), 5_000_000_000L, 30_000_000_000L));
  }

  private NodeProcess node(
      Scratch scratch, EventLoopGroup group, Path rules, InetSocketAddress agent) throws Exception {
    List<CacheServer> none = List.of();
    Discovery discovery = new Discovery(group.next(), () -> Discovery.list(1, none));
    String fields =
        "\"variants_file\":\"%s\",\"variants_agent\":\"127.0.0.1:%d\","
            .formatted(rules, agent.getPort());
    String text =
        NodeConfigFile.text("n0", 0, 1, discovery.address(), none, Path.of("none"))
            .replace("\"status_socket\":\"none\",", fields);
    return NodeProcess.start(scratch, jar, 0, text, "{}");
  }

  /** Waits until the node has told that it holds the table. */
  private static void awaitTable(Agent agent) throws Exception {
    URI uri = URI.create(agent.url());
    try (Fleet direct =
        fleet(new InetSocketAddress(InetAddress.getLoopbackAddress(), uri.getPort()))) {
      long until = System.nanoTime() + SETTLE_SECONDS * 1_000_000_000L;
      while (System.nanoTime() < until) {
        Api.VariantView view = direct.clients().get("agent-1").variantsBrief(FLEET);
        boolean told =
            view.nodes().stream().anyMatch(node -> node.version().equals(view.version()));
        if (view.digest() != null && told) {
          return;
        }
        TimeUnit.MILLISECONDS.sleep(50);
      }
    }
    throw new IOException("the node holds no table after " + SETTLE_SECONDS + " s");
  }
}
