package beamspread.cli;

import beamspread.standin.CacheServer;
import beamspread.standin.Discovery;
import beamspread.standin.OpenLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import jdk.jfr.consumer.RecordedEvent;
import jdk.jfr.consumer.RecordedFrame;
import jdk.jfr.consumer.RecordingFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Where the CPU time of a request goes: by thread, and within the event loop by package. */
@Command(
    name = "profile",
    description =
        "Puts a node under steady loads and tells the CPU time of a request for each of its"
            + " threads, from the system's own count; then, in a second run that is recorded, which"
            + " package the event loop was in. Wake-ups are waits of a thread that ended, and calls"
            + " those that read or write. Recording costs time itself: only its shares count.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread measure profile",
      "  ./beamspread measure profile --rate 4900 --methods 30"
    })
final class MeasureProfile implements Callable<Integer> {
  private static final int SERVERS = 6;
  private static final int CONNECTIONS = 24;
  private static final int WARM_SECONDS = 5;
  private static final CacheServer.Conduct FAST = new CacheServer.Conduct(2000, 40, true, 1000, 0);

  @Parameters(
      paramLabel = "JAR",
      arity = "0..1",
      description = "node jar (default: target/beamspread.jar)")
  private Path jar = Path.of("target/beamspread.jar");

  @Option(
      names = "--rate",
      split = ",",
      defaultValue = "300,2000,4900",
      description = "requests a second (default: 300,2000,4900)")
  private List<Integer> rates;

  @Option(names = "--seconds", defaultValue = "10", description = "of each (default: 10)")
  private int seconds;

  @Option(names = "--methods", defaultValue = "12", description = "to name (default: 12)")
  private int methods;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    if (seconds < 1 || seconds > 600 || rates.stream().anyMatch(one -> one < 1 || one > 50_000)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "--seconds must be 1 to 600, each --rate 1 to 50000");
    }
    PrintWriter out = spec.commandLine().getOut();
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try (Scratch scratch = new Scratch()) {
      for (int rate : rates) {
        threads(scratch, group, rate, out);
        recorded(scratch, group, rate, out);
        out.flush();
      }
    } finally {
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
    return 0;
  }

  private NodeProcess node(Scratch scratch, EventLoopGroup group, List<String> flags)
      throws IOException, InterruptedException {
    List<CacheServer> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(new CacheServer(group.next(), FAST));
    }
    return NodeProcess.start(
        scratch, jar, new Discovery(group.next(), servers), servers, null, flags);
  }

  private static void load(NodeProcess node, EventLoopGroup group, int rate, int forSeconds)
      throws Exception {
    new OpenLoop(group.next(), node.address(), rate)
        .connect(CONNECTIONS)
        .run(rate, forSeconds * 1000L, 1000)
        .get(60 + forSeconds, TimeUnit.SECONDS);
  }

  private void threads(Scratch scratch, EventLoopGroup group, int rate, PrintWriter out)
      throws Exception {
    try (NodeProcess node = node(scratch, group, List.of())) {
      load(node, group, rate, WARM_SECONDS);
      Map<String, long[]> before = node.threadMillis();
      long[] allBefore = node.ownAndSystemMillis();
      Map<String, Long> wakeUpsBefore = node.threadWakeUps();
      long callsBefore = node.readAndWriteCalls();
      load(node, group, rate, seconds);
      Map<String, long[]> after = node.threadMillis();
      long[] all = node.ownAndSystemMillis();
      Map<String, Long> wakeUps = node.threadWakeUps();
      long calls = node.readAndWriteCalls() - callsBefore;
      double requests = (double) rate * seconds;
      Table table =
          new Table(rate + "/s, THREAD", "OWN US A REQUEST", "SYSTEM US", "ALL US", "WAKE-UPS");
      wakeUpsBefore.forEach((name, count) -> wakeUps.merge(name, -count, Long::sum));
      long allWakeUps = 0;
      for (Map.Entry<String, long[]> thread : after.entrySet()) {
        long[] was = before.getOrDefault(thread.getKey(), new long[2]);
        double ownMicros = (thread.getValue()[0] - was[0]) * 1000 / requests;
        double systemMicros = (thread.getValue()[1] - was[1]) * 1000 / requests;
        // Less than before: threads of that name have ended. They are in the sum of all.
        long woken = Math.max(0, wakeUps.getOrDefault(thread.getKey(), 0L));
        allWakeUps += woken;
        if (ownMicros + systemMicros > 0) {
          row(table, thread.getKey(), ownMicros, systemMicros, woken / requests);
        }
      }
      row(
          table,
          "all",
          (all[0] - allBefore[0]) * 1000 / requests,
          (all[1] - allBefore[1]) * 1000 / requests,
          allWakeUps / requests);
      table.print(out);
      out.println(Table.decimal(calls / requests, 2) + " calls that read or write, a request");
    }
  }

  private static void row(Table table, String name, double own, double system, double wakeUps) {
    table.row(
        name,
        Table.decimal(own, 1),
        Table.decimal(system, 1),
        Table.decimal(own + system, 1),
        Table.decimal(wakeUps, 3));
  }

  private void recorded(Scratch scratch, EventLoopGroup group, int rate, PrintWriter out)
      throws Exception {
    Path file = scratch.folder().resolve("node" + rate + ".jfr");
    String recording =
        "-XX:StartFlightRecording=settings=profile,dumponexit=true,filename="
            + file
            + ",jdk.ExecutionSample#period=10ms,jdk.NativeMethodSample#period=10ms";
    try (NodeProcess node = node(scratch, group, List.of(recording))) {
      load(node, group, rate, WARM_SECONDS + seconds);
      node.end();
    }
    Map<String, Integer> places = new HashMap<>();
    Map<String, Integer> tops = new HashMap<>();
    int all = 0;
    try (RecordingFile events = new RecordingFile(file)) {
      while (events.hasMoreEvents()) {
        RecordedEvent event = events.readEvent();
        String type = event.getEventType().getName();
        boolean sample =
            type.equals("jdk.ExecutionSample") || type.equals("jdk.NativeMethodSample");
        if (!sample || event.getStackTrace() == null) {
          continue;
        }
        List<RecordedFrame> frames = event.getStackTrace().getFrames();
        String top = name(frames.get(0));
        if (waits(top) || frames.stream().noneMatch(one -> name(one).contains("SingleThread"))) {
          continue;
        }
        all++;
        places.merge(place(frames), 1, Integer::sum);
        tops.merge(top, 1, Integer::sum);
      }
    }
    print(out, new Table(rate + "/s, WITHIN", "SHARE OF SAMPLES"), places, all, 100);
    print(out, new Table(rate + "/s, METHOD", "SHARE OF SAMPLES"), tops, all, methods);
    out.println(all + " samples of the event loop at work, waits for sockets left out");
  }

  private static void print(
      PrintWriter out, Table table, Map<String, Integer> counts, int all, int most) {
    counts.entrySet().stream()
        .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder()))
        .limit(most)
        .forEach(
            one -> table.row(one.getKey(), Table.decimal(one.getValue() * 100.0 / all, 1) + " %"));
    table.print(out);
  }

  private static String name(RecordedFrame frame) {
    return frame.getMethod().getType().getName() + "." + frame.getMethod().getName();
  }

  /** Whether a thread that is there uses no CPU. */
  private static boolean waits(String top) {
    return top.endsWith("EPoll.wait") || top.endsWith(".park") || top.endsWith("Object.wait");
  }

  /** The system call that is under way, else the project's package that the work is for. */
  private static String place(List<RecordedFrame> frames) {
    String top = name(frames.get(0));
    if (top.startsWith("sun.nio.ch.") && top.endsWith("0")) {
      return "system call " + top.substring("sun.nio.ch.".length());
    }
    for (RecordedFrame frame : frames) {
      String type = frame.getMethod().getType().getName();
      // What runs the loop is beneath everything.
      if (type.startsWith("beamspread.") && !type.startsWith("beamspread.loop.")) {
        return type.contains("$$Lambda")
            ? "beamspread.node"
            : type.substring(0, type.lastIndexOf('.'));
      }
    }
    return "Netty and the Java library";
  }
}
