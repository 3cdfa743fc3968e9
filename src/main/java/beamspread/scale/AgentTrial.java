package beamspread.scale;

import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.Selection;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** What agents cost at rest and for each call, and how long a command that asks all takes. */
final class AgentTrial {
  private static final long ANSWER_NANOS = 20_000_000_000L;
  private static final long READY_NANOS = 30_000_000_000L;

  private AgentTrial() {}

  static Path file(Path folder, int number) throws IOException {
    Path file = folder.resolve("agent" + number + ".toml");
    Files.writeString(folder.resolve("a" + number + ".json"), "{}\n");
    return Files.writeString(
        file,
        """
        name = "agent-%d"
        folder = "agent%d"
        [api]
        listen = "127.0.0.1:0"
        [[instance]]
        name = "a%d"
        zone = "z%d"
        command = ["true"]
        config = "a%d.json"
        autostart = false
        """
            .formatted(number, number, number, number % 20, number));
  }

  private static URI url(Path folder, int number) throws IOException, InterruptedException {
    Path url = folder.resolve("agent" + number).resolve("url");
    for (long until = System.nanoTime() + READY_NANOS;
        !Files.exists(url) || Files.size(url) == 0; ) {
      if (System.nanoTime() - until > 0) {
        throw new IOException("no agent at " + url);
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    return URI.create(Files.readString(url).strip());
  }

  static Fleet fleet(Path folder, int from, int count) throws IOException, InterruptedException {
    List<Inventory.AgentEntry> entries = new ArrayList<>();
    for (int i = from; i < from + count; i++) {
      entries.add(new Inventory.AgentEntry("agent-" + i, url(folder, i), null, null));
    }
    return new Fleet(new Inventory(entries, ANSWER_NANOS, ANSWER_NANOS));
  }

  /** Asks all agents for their instances; how long it took, in seconds. */
  private static double ask(Fleet fleet, int size) throws IOException {
    long began = System.nanoTime();
    var answers = fleet.instances(Selection.all());
    double seconds = (System.nanoTime() - began) / 1e9;
    if (Fleet.flat(answers).size() != size) {
      throw new IOException("only some answered: " + answers.unreachable());
    }
    return seconds;
  }

  static void play(ScaleFile plan, int size, Path folder, Figures figures) throws Exception {
    List<Path> files = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      files.add(file(folder, i));
    }
    try (HollowFleet agents = HollowFleet.start("agents", folder, files);
        Fleet fleet = fleet(folder, 0, size)) {
      // The first call opens the connections.
      ask(fleet, size);
      ProcessSample begun = agents.sample();
      TimeUnit.SECONDS.sleep(plan.seconds());
      ProcessSample rested = agents.sample();
      ProcessSample own = ProcessSample.of(ProcessHandle.current().pid());
      double[] seconds = new double[plan.calls()];
      for (int i = 0; i < plan.calls(); i++) {
        seconds[i] = ask(fleet, size);
      }
      ProcessSample called = agents.sample();
      ProcessSample ownCalled = ProcessSample.of(ProcessHandle.current().pid());
      Arrays.sort(seconds);
      double all = (double) size * plan.calls();
      figures.put("agent.heap_mb", Long.parseLong(agents.ask("heap")) / 1e6 / size);
      figures.put("agent.resident_mb", called.residentKb() / 1e3 / size);
      figures.put("agent.descriptors", (double) called.descriptors() / size);
      figures.put(
          "agent.rest_core_percent",
          (double) (rested.cpuMillis() - begun.cpuMillis()) / plan.seconds() / 10 / size);
      figures.put("agent.call_cpu_ms", (called.cpuMillis() - rested.cpuMillis()) / all);
      figures.put("agent.call_bytes_in", (called.readBytes() - rested.readBytes()) / all);
      figures.put("agent.call_bytes_out", (called.writtenBytes() - rested.writtenBytes()) / all);
      figures.put("command.call_median_s", seconds[seconds.length / 2]);
      figures.put("command.call_last_s", seconds[seconds.length - 1]);
      figures.put(
          "command.call_cpu_ms", (ownCalled.cpuMillis() - own.cpuMillis()) / (double) plan.calls());
    }
  }

  /** The bytes that a real agent and a hollow one write for a call. */
  static double[] realAndHollow(ScaleFile plan, Path folder) throws Exception {
    Path one = file(folder, 0);
    Path other = file(folder, 1);
    try (HollowFleet real = HollowFleet.agent(folder, one);
        HollowFleet hollow = HollowFleet.start("agents", folder, List.of(other));
        Fleet ofReal = fleet(folder, 0, 1);
        Fleet ofHollow = fleet(folder, 1, 1)) {
      return new double[] {written(plan, real, ofReal), written(plan, hollow, ofHollow)};
    }
  }

  private static double written(ScaleFile plan, HollowFleet process, Fleet fleet)
      throws IOException {
    ask(fleet, 1);
    ProcessSample begun = process.sample();
    for (int i = 0; i < plan.calls(); i++) {
      ask(fleet, 1);
    }
    return (double) (process.sample().writtenBytes() - begun.writtenBytes()) / plan.calls();
  }
}
