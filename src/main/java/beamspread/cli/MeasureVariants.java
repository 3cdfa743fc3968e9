package beamspread.cli;

import beamspread.agent.Agent;
import beamspread.fleet.Fleet;
import beamspread.fleet.VariantPublisher;
import beamspread.fleet.WorkLease;
import beamspread.lease.FencingToken;
import beamspread.node.variants.VariantFileReader;
import beamspread.standin.CountingCache;
import beamspread.standin.Discovery;
import beamspread.standin.NodeConfigFile;
import beamspread.standin.OpenLoop;
import beamspread.variants.VariantFile;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** What canonical keys save: the same reads of variants with and without a table, side by side. */
@Command(
    name = "variants",
    description =
        "Puts real nodes before stand-in cache servers that fetch what they lack, and reads"
            + " variants with Zipf-distributed keys: once under their own keys, once under"
            + " canonical ones. In each play a third of the cache servers lose all at half time.",
    mixinStandardHelpOptions = true,
    footer = {"", "Example: ./beamspread measure variants --classes 1,4 --same 50,90,100"})
final class MeasureVariants implements Callable<Integer> {
  private static final int NODES = 3;
  private static final int SERVERS = 6;
  private static final int FAMILIES = 10;
  private static final int VALUE_BYTES = 1000;
  private static final int CONNECTIONS = 16;
  private static final List<String> NAMES =
      List.of("phone", "tablet", "desktop", "watch", "tv", "car", "reader", "speaker");

  @Option(names = "--classes", split = ",", defaultValue = "1,2,4", description = "1 to 8 each")
  private List<Integer> classes;

  @Option(
      names = "--same",
      split = ",",
      defaultValue = "50,90,100",
      description = "percent of the families whose classes are the same, 0 to 100 each")
  private List<Integer> same;

  @Option(names = "--seconds", defaultValue = "10", description = "of each play (default: 10)")
  private int seconds;

  @Option(names = "--rate", defaultValue = "1500", description = "reads a second (default: 1500)")
  private int rate;

  @Option(names = "--objects", defaultValue = "1000", description = "in each family")
  private int objects;

  @Option(names = "--jar", defaultValue = "target/beamspread.jar", description = "node jar")
  private Path jar;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** What came of a play. */
  private record Play(
      double missShare,
      long fetches,
      long fetchesCold,
      double megabytes,
      long p50,
      long p99,
      double cpuMicros) {}

  @Override
  public Integer call() throws Exception {
    Bounds.check(spec.commandLine(), "--seconds", seconds, 2, 600);
    Bounds.check(spec.commandLine(), "--rate", rate, 10, 20_000);
    Bounds.check(spec.commandLine(), "--objects", objects, 10, 1_000_000);
    for (int count : classes) {
      Bounds.check(spec.commandLine(), "--classes", count, 1, NAMES.size());
    }
    for (int percent : same) {
      Bounds.check(spec.commandLine(), "--same", percent, 0, 100);
    }
    PrintWriter out = spec.commandLine().getOut();
    Table table =
        new Table(
            "CLASSES",
            "SAME",
            "KEYS",
            "MISSES",
            "FETCHES",
            "AFTER COLD",
            "MB KEPT",
            "P50 US",
            "P99 US",
            "CPU US");
    for (int count : classes) {
      for (int percent : same) {
        row(table, count, percent, false);
        row(table, count, percent, true);
      }
    }
    table.print(out);
    out.flush();
    return 0;
  }

  private void row(Table table, int count, int percent, boolean on) throws Exception {
    Play play = play(count, percent, on);
    table.row(
        count,
        percent + " %",
        on ? "canonical" : "own",
        Table.decimal(play.missShare() * 100, 1) + " %",
        play.fetches(),
        play.fetchesCold(),
        Table.decimal(play.megabytes(), 1),
        play.p50(),
        play.p99(),
        Table.decimal(play.cpuMicros(), 1));
  }

  /** The rules, with as many families merged as are the same. */
  private static String rules(int count, int percent) {
    List<String> rules = new ArrayList<>();
    List<String> names = NAMES.subList(0, Math.max(2, count));
    String quoted = names.stream().map(one -> '"' + one + '"').collect(Collectors.joining(","));
    for (int f = 0; f < FAMILIES; f++) {
      String merged = f * 100 < percent * FAMILIES ? '"' + String.join("+", names) + '"' : "";
      rules.add(
          ("{\"prefix\":\"f%d/\",\"separator\":\"/\",\"field\":0,\"classes\":[%s],"
                  + "\"requests\":[\"read\"],\"max_age_s\":60,\"same\":[%s]}")
              .formatted(f, quoted, merged));
    }
    return "{\"fleet\":\"main\",\"hold_s\":10,\"rules\":[" + String.join(",", rules) + "]}";
  }

  /** Keys of variants: families and classes alike, objects by Zipf's law. */
  private Supplier<String> keys(int count, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double[] sums = new double[objects];
    double sum = 0;
    for (int i = 0; i < objects; i++) {
      sum += 1.0 / (i + 1);
      sums[i] = sum;
    }
    double all = sum;
    return () -> {
      int found = Arrays.binarySearch(sums, random.nextDouble() * all);
      int object = Math.min(objects - 1, found < 0 ? -found - 1 : found);
      return "f" + random.nextInt(FAMILIES) + "/" + NAMES.get(random.nextInt(count)) + "/" + object;
    };
  }

  private Play play(int count, int percent, boolean on) throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    ScheduledExecutorService publishing = Executors.newSingleThreadScheduledExecutor();
    List<CountingCache> caches = new ArrayList<>();
    List<NodeProcess> nodes = new ArrayList<>();
    try (Scratch scratch = new Scratch()) {
      for (int s = 0; s < SERVERS; s++) {
        caches.add(new CountingCache(group.next(), VALUE_BYTES));
      }
      Agent agent = scratch.agent("agent-1", 0, 0, i -> "");
      Path rules = scratch.folder().resolve("variants.json");
      Files.writeString(rules, rules(count, percent));
      VariantFile file = VariantFileReader.read(Files.readString(rules));
      try (Fleet fleet = scratch.fleet(List.of(agent))) {
        VariantPublisher publisher =
            new VariantPublisher(fleet, WorkLease.of(new FencingToken("variants/main", 1)), file);
        publisher.round();
        publishing.scheduleWithFixedDelay(publisher::round, 2, 2, TimeUnit.SECONDS);
        Discovery discovery = new Discovery(group.next(), () -> list(caches));
        for (int n = 0; n < NODES; n++) {
          nodes.add(node(scratch, discovery, caches, n, rules, URI.create(agent.url()), on));
        }
        return read(group, caches, nodes, count);
      }
    } finally {
      publishing.shutdownNow();
      nodes.forEach(NodeProcess::close);
      caches.forEach(CountingCache::close);
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  private static String list(List<CountingCache> caches) {
    return Discovery.listAt(1, caches.stream().map(CountingCache::address).toList());
  }

  private NodeProcess node(
      Scratch scratch,
      Discovery discovery,
      List<CountingCache> caches,
      int number,
      Path rules,
      URI agent,
      boolean on)
      throws Exception {
    String text =
        NodeConfigFile.text(
                "n" + number, number, NODES, discovery.address(), list(caches), Path.of("none"))
            .replace("\"status_socket\":\"none\",", "");
    String fields =
        "\"variants_file\":\"%s\",\"variants_agent\":\"127.0.0.1:%d\","
            .formatted(rules, agent.getPort());
    return NodeProcess.start(
        scratch, jar, number, on ? "{" + fields + text.substring(1) : text, "{}");
  }

  private Play read(
      EventLoopGroup group, List<CountingCache> caches, List<NodeProcess> nodes, int count)
      throws Exception {
    // A table is asked for at the start; what is read before it comes would count for nobody.
    TimeUnit.SECONDS.sleep(1);
    long cpuBefore = cpu(nodes);
    var first = load(group, nodes, count, 1);
    long fetches = caches.stream().mapToLong(CountingCache::fetches).sum();
    caches.subList(0, SERVERS / 3).forEach(CountingCache::clear);
    var second = load(group, nodes, count, 2);
    long all = caches.stream().mapToLong(CountingCache::fetches).sum();
    long reads = caches.stream().mapToLong(CountingCache::reads).sum();
    long bytes = 0;
    for (CountingCache cache : caches) {
      bytes += cache.bytes();
    }
    first.add(second);
    return new Play(
        (double) all / reads,
        fetches,
        all - fetches,
        bytes / 1e6,
        first.getValueAtPercentile(50),
        first.getValueAtPercentile(99),
        (cpu(nodes) - cpuBefore) * 1000.0 / reads);
  }

  private static long cpu(List<NodeProcess> nodes) throws Exception {
    long millis = 0;
    for (NodeProcess node : nodes) {
      millis += node.cpuMillis();
    }
    return millis;
  }

  /** Half a play of reads over all nodes; how long answers took. */
  private Histogram load(EventLoopGroup group, List<NodeProcess> nodes, int count, int part)
      throws Exception {
    List<CompletableFuture<List<OpenLoop.Window>>> loads = new ArrayList<>();
    for (int n = 0; n < nodes.size(); n++) {
      long seed = part * 100L + n;
      loads.add(
          new OpenLoop(group.next(), nodes.get(n).address(), seed, keys(count, seed))
              .connect(CONNECTIONS)
              .run(rate / nodes.size(), seconds * 500L, 1000));
    }
    Histogram all = new Histogram(1, 60_000_000L, 3);
    for (var load : loads) {
      for (OpenLoop.Window window : load.get(60 + seconds, TimeUnit.SECONDS)) {
        all.add(window.served);
      }
    }
    return all;
  }
}
