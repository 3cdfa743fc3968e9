package beamspread.cli;

import beamspread.standin.CacheServer;
import beamspread.standin.Discovery;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Stops nodes while clients ask, and tells what became of each request; then what closes cost. */
@Command(
    name = "closes",
    description =
        "Stops a node of each jar for a moment while its clients ask on connections that they kept"
            + " and on new ones, and tells what became of the requests. Then tells what CPU time a"
            + " request costs where each comes on a connection of its own, which the node closes.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread measure closes",
      "  ./beamspread measure closes ../before/target/beamspread.jar target/beamspread.jar",
      "",
      "Exit codes: 0 if nobody was cut off at the last jar, 1 if somebody was."
    })
final class MeasureCloses implements Callable<Integer> {
  /** Kept connections and new ones: below and above what a node with 256 descriptors holds. */
  private static final int[][] CASES = {{20, 0}, {70, 0}, {70, 40}, {100, 60}};

  private static final int SERVERS = 6;
  private static final int REST_MILLIS = 30;
  private static final int PATIENCE_MILLIS = 5000;

  /** Requests a second of the load that costs are told for. */
  private static final int RATE = 300;

  private static final int WARM_SECONDS = 3;

  @Mixin private NodeJars jars;

  @Option(names = "--rounds", defaultValue = "10", description = "of each case (default: 10)")
  private int rounds;

  @Option(names = "--stop", defaultValue = "150", description = "milliseconds (default: 150)")
  private int stopMillis;

  @Option(
      names = "--seconds",
      defaultValue = "8",
      description = "of each of five loads for the cost of a close, 0 for none (default: 8)")
  private int seconds;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** What became of requests. */
  private static final class Tally {
    int answered;
    int refused;
    int failed;
    int cut;

    int all() {
      return answered + refused + failed + cut;
    }

    @Override
    public String toString() {
      return answered + " of " + all();
    }
  }

  @Override
  public Integer call() throws Exception {
    Bounds.check(spec.commandLine(), "--rounds", rounds, 1, 1000);
    Bounds.check(spec.commandLine(), "--stop", stopMillis, 1, 10_000);
    Bounds.check(spec.commandLine(), "--seconds", seconds, 0, 600);
    PrintWriter out = spec.commandLine().getOut();
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    int cut = 0;
    try (Scratch scratch = new Scratch()) {
      List<CacheServer> servers = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        servers.add(new CacheServer(group.next(), 1000, 100));
      }
      Discovery discovery = new Discovery(group.next(), servers);
      Table table =
          new Table("JAR", "KEPT, NEW", "ANSWERED KEPT", "NEW", "REFUSED", "FAILED", "CUT OFF");
      for (int[] one : CASES) {
        for (Path jar : jars.all()) {
          try (NodeProcess node = NodeProcess.start(scratch, jar, discovery, servers)) {
            Tally kept = new Tally();
            Tally fresh = new Tally();
            for (int round = 0; round < rounds; round++) {
              round(node, one[0], one[1], kept, fresh);
            }
            table.row(
                jar,
                one[0] + ", " + one[1],
                kept,
                fresh,
                kept.refused + fresh.refused,
                kept.failed + fresh.failed,
                kept.cut + " kept, " + fresh.cut + " new");
            cut += jars.last(jar) ? kept.cut + fresh.cut : 0;
          }
        }
      }
      table.print(out);
      out.flush();
      if (seconds > 0) {
        costs(scratch, discovery, servers, out);
      }
    } finally {
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
    return cut == 0 ? 0 : 1;
  }

  /** A client's connection. */
  private static final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;

    Client(InetSocketAddress node) throws IOException {
      socket.connect(node, PATIENCE_MILLIS);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(PATIENCE_MILLIS);
      in = new BufferedInputStream(socket.getInputStream());
    }

    void ask(String id) throws IOException {
      String command = "mg k" + id + " v O" + id + " Pc=read,d=1500\r\n";
      socket.getOutputStream().write(command.getBytes(StandardCharsets.US_ASCII));
    }

    /** The first line of the answer; empty if the connection ended without a byte. */
    String answer() throws IOException {
      StringBuilder line = new StringBuilder();
      try {
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
          line.append((char) b);
        }
      } catch (SocketTimeoutException e) {
        throw e;
      } catch (IOException e) {
        // Reset.
      }
      String text = line.toString().strip();
      if (text.startsWith("VA ")) {
        in.readNBytes(Integer.parseInt(text.split(" ")[1]) + 2);
      }
      return text;
    }

    void count(Tally tally) throws IOException {
      String answer = answer();
      if (answer.isEmpty()) {
        tally.cut++;
      } else if (answer.startsWith("VA ")) {
        tally.answered++;
      } else if (answer.startsWith("SERVER_ERROR busy")) {
        tally.refused++;
      } else {
        tally.failed++;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private void round(NodeProcess node, int kept, int fresh, Tally ofKept, Tally ofFresh)
      throws IOException, InterruptedException {
    List<Client> clients = new ArrayList<>();
    try {
      // All together: the first must not have rested for 100 ms when the last is answered.
      for (int i = 0; i < kept; i++) {
        clients.add(new Client(node.address()));
      }
      for (int i = 0; i < kept; i++) {
        clients.get(i).ask("a" + i);
      }
      for (Client client : clients) {
        if (!client.answer().startsWith("VA ")) {
          throw new IOException("no answer before the stop");
        }
      }
      TimeUnit.MILLISECONDS.sleep(REST_MILLIS);
      node.signal("STOP");
      long until = System.nanoTime() + stopMillis * 1_000_000L;
      try {
        for (int i = 0; i < kept; i++) {
          clients.get(i).ask("b" + i);
        }
        for (int i = 0; i < fresh; i++) {
          Client client = new Client(node.address());
          clients.add(client);
          client.ask("c" + i);
        }
        while (System.nanoTime() - until < 0) {
          TimeUnit.MILLISECONDS.sleep(1);
        }
      } finally {
        node.signal("CONT");
      }
      for (int i = 0; i < clients.size(); i++) {
        clients.get(i).count(i < kept ? ofKept : ofFresh);
      }
    } finally {
      for (Client client : clients) {
        client.close();
      }
    }
  }

  /** What a request costs on a connection of its own, the jars in turn. */
  private void costs(
      Scratch scratch, Discovery discovery, List<CacheServer> servers, PrintWriter out)
      throws IOException, InterruptedException {
    int loads = 5;
    Map<Path, long[]> micros = new LinkedHashMap<>();
    for (int load = 0; load < loads; load++) {
      for (Path jar : jars.all()) {
        try (NodeProcess node = NodeProcess.start(scratch, jar, discovery, servers)) {
          load(node.address(), WARM_SECONDS * RATE);
          long before = node.cpuMillis();
          load(node.address(), seconds * RATE);
          long used = node.cpuMillis() - before;
          micros.computeIfAbsent(jar, key -> new long[loads])[load] =
              used * 1000 / (seconds * RATE);
        }
      }
    }
    out.println(
        "CPU of a node for a request on a connection of its own, "
            + RATE
            + " a second, microseconds: least, median, most of "
            + loads);
    micros.forEach((jar, all) -> out.println(jar + ": " + MeasureReload.spread(all)));
  }

  /** Asks at an even pace, once on each connection, and leaves the closing to the node. */
  private static void load(InetSocketAddress node, int requests)
      throws IOException, InterruptedException {
    ArrayDeque<Client> open = new ArrayDeque<>();
    try {
      long began = System.nanoTime();
      for (int i = 0; i < requests; i++) {
        long wait = began + i * (1_000_000_000L / RATE) - System.nanoTime();
        if (wait > 0) {
          TimeUnit.NANOSECONDS.sleep(wait);
        }
        Client client = new Client(node);
        open.add(client);
        client.ask("l" + i % 500 + "x" + i);
        client.answer();
        // By then the node has closed the oldest, since it holds fewer.
        if (open.size() > 200) {
          open.poll().close();
        }
      }
    } finally {
      for (Client client : open) {
        client.close();
      }
    }
  }
}
