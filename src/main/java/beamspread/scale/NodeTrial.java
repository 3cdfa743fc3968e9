package beamspread.scale;

import beamspread.standin.Discovery;
import beamspread.standin.NodeConfigFile;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** What nodes cost at rest and for each change of the list, and when a change is in force. */
final class NodeTrial {
  private static final int FIRST_CHANGES = 2;
  private static final long PATIENCE_NANOS = 30_000_000_000L;

  private NodeTrial() {}

  private static Path config(Path folder, int number, int size, ListService lists)
      throws IOException {
    Path file = folder.resolve("n" + number + ".json");
    String text =
        NodeConfigFile.text(
                "n" + number,
                number,
                size,
                lists.discovery().address(),
                lists.whole(),
                Path.of("none"))
            .replace("\"status_socket\":\"none\",", "");
    return Files.writeString(file, text);
  }

  static void play(ScaleFile plan, int size, Path folder, Figures figures) throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ListService lists = new ListService(group.next(), plan.servers())) {
      List<Path> files = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        files.add(config(folder, i, size, lists));
      }
      try (HollowFleet fleet = HollowFleet.start("nodes", folder, files)) {
        fleet.ask("listed " + lists.servers());
        course(plan, size, lists, fleet, figures);
        waves(plan, lists, fleet, figures);
        figures.put("node.heap_mb", Long.parseLong(fleet.ask("heap")) / 1e6 / size);
      }
    } finally {
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  /** At rest for some seconds, then as long with a change a second. */
  private static void course(
      ScaleFile plan, int size, ListService lists, HollowFleet fleet, Figures figures)
      throws IOException, InterruptedException {
    // What the first changes load and compile is no cost of each.
    for (int i = 0; i < FIRST_CHANGES; i++) {
      lists.change(i % 2 == 0);
      TimeUnit.SECONDS.sleep(1);
    }
    ProcessSample begun = fleet.sample();
    Discovery discovery = lists.discovery();
    long told = discovery.toldBytes();
    long asked = discovery.askedBytes();
    ProcessSample own = ProcessSample.of(ProcessHandle.current().pid());
    TimeUnit.SECONDS.sleep(plan.seconds());
    ProcessSample rested = fleet.sample();
    long toldAtRest = discovery.toldBytes() - told;
    long askedAtRest = discovery.askedBytes() - asked;
    ProcessSample ownRested = ProcessSample.of(ProcessHandle.current().pid());
    for (int i = 0; i < plan.seconds(); i++) {
      lists.change(i % 2 == 0);
      TimeUnit.SECONDS.sleep(1);
    }
    if (plan.seconds() % 2 == 1) {
      lists.change(false);
    }
    ProcessSample changed = fleet.sample();
    long toldOfChanges = discovery.toldBytes() - told - 2 * toldAtRest;
    ProcessSample ownChanged = ProcessSample.of(ProcessHandle.current().pid());
    double nodes = size;
    double seconds = plan.seconds();
    double restCpu = rested.cpuMillis() - begun.cpuMillis();
    double ownRestCpu = ownRested.cpuMillis() - own.cpuMillis();
    figures.put("node.resident_mb", changed.residentKb() / 1e3 / nodes);
    figures.put("node.descriptors", changed.descriptors() / nodes);
    figures.put("node.rest_core_percent", restCpu / seconds / 10 / nodes);
    figures.put("node.rest_bytes_in_per_s", toldAtRest / seconds / nodes);
    figures.put("node.rest_bytes_out_per_s", askedAtRest / seconds / nodes);
    figures.put(
        "node.change_cpu_ms",
        Math.max(0, changed.cpuMillis() - rested.cpuMillis() - restCpu) / seconds / nodes);
    figures.put("node.change_bytes_in", Math.max(0, toldOfChanges) / seconds / nodes);
    figures.put("discovery.rest_core_percent", ownRestCpu / seconds / 10);
    figures.put(
        "discovery.change_cpu_ms",
        Math.max(0, ownChanged.cpuMillis() - ownRested.cpuMillis() - ownRestCpu) / seconds);
  }

  /** Changes, each timed until all nodes have it in force. */
  private static void waves(ScaleFile plan, ListService lists, HollowFleet fleet, Figures figures)
      throws IOException {
    List<Double> all = new ArrayList<>();
    double last = 0;
    for (int wave = 0; wave < plan.waves(); wave++) {
      boolean comes = wave % 2 == 0;
      long told = System.nanoTime();
      lists.change(comes);
      for (String seen : fleet.ask("listed " + lists.servers()).split(" ")) {
        double seconds = (Long.parseLong(seen) - told) / 1e9;
        all.add(seconds);
        last = Math.max(last, seconds);
      }
    }
    double[] sorted = all.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
    figures.put("node.change_median_s", sorted[sorted.length / 2]);
    figures.put("node.change_99_s", sorted[(int) Math.ceil(sorted.length * 0.99) - 1]);
    figures.put("node.change_last_s", last);
  }

  /**
   * What a real node and a hollow one are sent from their start on, under the same course, in
   * bytes.
   */
  static double[] realAndHollow(ScaleFile plan, Path folder) throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ListService ofReal = new ListService(group.next(), plan.servers());
        ListService ofHollow = new ListService(group.next(), plan.servers());
        HollowFleet real = HollowFleet.node(folder, config(folder, 0, 2, ofReal));
        HollowFleet hollow =
            HollowFleet.start("nodes", folder, List.of(config(folder, 1, 2, ofHollow)))) {
      hollow.ask("listed " + ofHollow.servers());
      awaitFollowed(ofReal, real);
      double[] begun = {ofReal.discovery().toldBytes(), ofHollow.discovery().toldBytes()};
      for (int i = 0; i < plan.seconds(); i++) {
        ofReal.change(i % 2 == 0);
        ofHollow.change(i % 2 == 0);
        TimeUnit.SECONDS.sleep(1);
      }
      return new double[] {
        ofReal.discovery().toldBytes() - begun[0], ofHollow.discovery().toldBytes() - begun[1]
      };
    } finally {
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  private static void awaitFollowed(ListService lists, HollowFleet real)
      throws IOException, InterruptedException {
    long until = System.nanoTime() + PATIENCE_NANOS;
    while (lists.discovery().toldBytes() < lists.whole().length()) {
      if (System.nanoTime() - until > 0) {
        throw new IOException("the real node does not follow: " + real.said());
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }
}
