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
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Values of all sizes, many at a time, some of them taken slowly. */
@Command(
    name = "values",
    description =
        "Has clients read values of one size after the other through a node of each jar, in turn,"
            + " and tells how soon their first and last bytes came, what each MiB cost the node, and"
            + " its memory. Then the same beside clients that take 16 KiB every 50 ms.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread measure values",
      "  ./beamspread measure values ../before/target/beamspread.jar target/beamspread.jar",
      "",
      "Exit codes: 0 if the last jar served every value, 1 if not."
    })
final class MeasureValues implements Callable<Integer> {
  private static final int[] SIZES = {1 << 10, 60 << 10, 256 << 10, 4 << 20};
  private static final int SERVERS = 4;
  private static final int PATIENCE_MILLIS = 5000;
  private static final int SLOW_READ = 16 << 10;
  private static final int SLOW_MILLIS = 50;

  @Mixin private NodeJars jars;

  @Option(names = "--clients", defaultValue = "16", description = "at a time (default: 16)")
  private int clients;

  @Option(names = "--slow", defaultValue = "8", description = "slow ones beside (default: 8)")
  private int slow;

  @Option(names = "--reads", defaultValue = "40", description = "of each client (default: 40)")
  private int reads;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Bounds.check(spec.commandLine(), "--clients", clients, 1, 64);
    Bounds.check(spec.commandLine(), "--slow", slow, 0, 64);
    Bounds.check(spec.commandLine(), "--reads", reads, 1, 10_000);
    PrintWriter out = spec.commandLine().getOut();
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    long unserved = 0;
    try (Scratch scratch = new Scratch()) {
      List<CacheServer> servers = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        servers.add(new CacheServer(group.next(), 1000, 100));
      }
      Discovery discovery = new Discovery(group.next(), servers);
      Table table =
          new Table(
              "VALUES",
              "JAR",
              "SERVED",
              "FIRST P50 MS",
              "P99",
              "WHOLE P50 MS",
              "P99",
              "MIB/S",
              "NODE CPU MS/MIB",
              "NODE MB");
      for (int beside : slow == 0 ? new int[] {0} : new int[] {0, slow}) {
        for (int size : SIZES) {
          for (Path jar : jars.all()) {
            try (NodeProcess node = NodeProcess.start(scratch, jar, discovery, servers)) {
              Run run = run(node, size, beside);
              run.row(table, (beside > 0 ? "beside slow ones, " : "") + kib(size), jar);
              unserved += jars.last(jar) ? run.failed.sum() : 0;
            }
          }
        }
      }
      table.print(out);
      out.println(clients + " clients, " + reads + " reads each; " + slow + " slow ones");
      out.flush();
    } finally {
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
    return unserved == 0 ? 0 : 1;
  }

  private static String kib(int size) {
    return size / 1024 + " KiB";
  }

  /** What came of one size. */
  private static final class Run {
    final Histogram first = new Histogram(1, 60_000_000L, 3);
    final Histogram whole = new Histogram(1, 60_000_000L, 3);
    final LongAdder failed = new LongAdder();
    int size;
    long nanos;
    long cpuMillis;
    long residentKb;

    synchronized void served(long firstMicros, long wholeMicros) {
      first.recordValue(Math.max(1, firstMicros));
      whole.recordValue(Math.max(1, wholeMicros));
    }

    void row(Table table, String what, Path jar) {
      double mib = (double) whole.getTotalCount() * size / (1 << 20);
      table.row(
          what,
          jar,
          whole.getTotalCount() + " of " + (whole.getTotalCount() + failed.sum()),
          millis(first, 50),
          millis(first, 99),
          millis(whole, 50),
          millis(whole, 99),
          Math.round(mib / (nanos / 1e9)),
          mib == 0 ? "-" : Table.decimal(cpuMillis / mib, 2),
          residentKb / 1024);
    }

    private static String millis(Histogram times, double percentile) {
      return Table.decimal(times.getValueAtPercentile(percentile) / 1000.0, 1);
    }
  }

  private Run run(NodeProcess node, int size, int beside) throws Exception {
    Run run = new Run();
    run.size = size;
    ExecutorService threads = Executors.newFixedThreadPool(clients + beside);
    try {
      List<Future<?>> fast = new ArrayList<>();
      List<Future<?>> others = new ArrayList<>();
      for (int i = 0; i < beside; i++) {
        int number = i;
        others.add(threads.submit(() -> crawl(node.address(), number)));
      }
      long cpu = node.cpuMillis();
      long began = System.nanoTime();
      for (int i = 0; i < clients; i++) {
        int number = i;
        fast.add(threads.submit(() -> read(node.address(), size, number, run)));
      }
      for (Future<?> one : fast) {
        one.get(10, TimeUnit.MINUTES);
      }
      run.nanos = System.nanoTime() - began;
      run.cpuMillis = node.cpuMillis() - cpu;
      run.residentKb = node.residentKb();
      others.forEach(one -> one.cancel(true));
    } finally {
      threads.shutdownNow();
      threads.awaitTermination(1, TimeUnit.MINUTES);
    }
    return run;
  }

  private static Socket connect(InetSocketAddress node, int receiveBuffer) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(receiveBuffer);
    socket.connect(node, PATIENCE_MILLIS);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(PATIENCE_MILLIS);
    return socket;
  }

  private static byte[] command(int size, String id, int key) {
    return ("mg size" + size + "-" + key + " v O" + id + " Pc=read,d=1500\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }

  private void read(InetSocketAddress node, int size, int client, Run run) {
    byte[] bytes = new byte[1 << 16];
    int next = 0;
    // A node that ends the connection is asked on a new one: each read has one try.
    while (next < reads) {
      try (Socket socket = connect(node, 1 << 20);
          InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16)) {
        while (next < reads) {
          int read = next++;
          long asked = System.nanoTime();
          socket
              .getOutputStream()
              .write(command(size, "f" + client + "-" + read, client * 1000 + read % 7));
          String line = line(in);
          long first = System.nanoTime();
          if (!line.startsWith("VA " + size + " ")) {
            run.failed.increment();
            continue;
          }
          for (int left = size + 2; left > 0; ) {
            int n = in.read(bytes, 0, Math.min(left, bytes.length));
            if (n < 0) {
              throw new IOException("cut off");
            }
            left -= n;
          }
          run.served((first - asked) / 1000, (System.nanoTime() - asked) / 1000);
        }
      } catch (IOException e) {
        run.failed.increment();
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new IOException("no answer");
      }
      line.append((char) b);
    }
    return line.toString();
  }

  /** Takes large values a little at a time, until it is interrupted. */
  private static void crawl(InetSocketAddress node, int client) {
    byte[] bytes = new byte[SLOW_READ];
    for (int i = 0; i < 100 && !Thread.interrupted(); i++) {
      try (Socket socket = connect(node, SLOW_READ)) {
        socket.getOutputStream().write(command(4 << 20, "s" + client + "-" + i, 100 + client));
        for (int n = 0; n >= 0; n = socket.getInputStream().read(bytes)) {
          TimeUnit.MILLISECONDS.sleep(SLOW_MILLIS);
        }
      } catch (IOException e) {
        // Cut off, or turned away: it asks again.
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
