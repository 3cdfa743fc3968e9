import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** What the cases of this review share: the record, processes, ports, a proxy that delays. */
final class Kit {
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  static final long STARTED = System.nanoTime();
  static final Path ROOT = Path.of("").toAbsolutePath();
  private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
  private static final List<Path> PID_FOLDERS = new CopyOnWriteArrayList<>();
  private static BufferedWriter record;
  private static Path temporary;

  private Kit() {}

  /** Opens the record, and sees to it that all processes end with this one. */
  static void begin(String folder) throws IOException {
    record =
        Files.newBufferedWriter(
            Path.of(folder, "record.txt"), StandardCharsets.UTF_8);
    temporary = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
    Thread watchdog =
        new Thread(
            () -> {
              sleep(112_000);
              say("the case took too long");
              end(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    say("disruption " + (TROUBLE ? "on" : "off"));
  }

  static Path temporary() {
    return temporary;
  }

  static double seconds() {
    return (System.nanoTime() - STARTED) / 1e9;
  }

  static synchronized void say(String line) {
    String text = String.format("%8.3f %s", seconds(), line);
    System.out.println(text);
    try {
      record.write(text + "\n");
      record.flush();
    } catch (IOException e) {
      System.err.println(e);
    }
  }

  /** Writes to the record alone. */
  static synchronized void note(String line) {
    try {
      record.write(String.format("%8.3f %s%n", seconds(), line));
    } catch (IOException e) {
      System.err.println(e);
    }
  }

  static void end(int code) {
    say(code == 0 ? "the rule held" : code == 1 ? "THE RULE WAS BROKEN" : "the case could not run");
    System.exit(code);
  }

  private static void endAll() {
    for (Process process : PROCESSES) {
      process.descendants().forEach(ProcessHandle::destroyForcibly);
      process.destroyForcibly();
    }
    for (Path folder : PID_FOLDERS) {
      killInstances(folder);
    }
    try (var files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      System.err.println(e);
    }
    synchronized (Kit.class) {
      try {
        record.close();
      } catch (IOException e) {
        System.err.println(e);
      }
    }
  }

  /** Ends the instances that an agent of this case has started, known by their pid files. */
  private static void killInstances(Path folder) {
    try (var files = Files.list(folder)) {
      files
          .filter(file -> file.toString().endsWith(".pid"))
          .forEach(
              file -> {
                try {
                  long pid = Long.parseLong(Files.readString(file).split(" ")[0]);
                  String command = Files.readString(Path.of("/proc/" + pid + "/environ"));
                  if (command.contains(temporary.toString())) {
                    ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
                  }
                } catch (IOException | RuntimeException e) {
                  // It has ended.
                }
              });
    } catch (IOException e) {
      // There is no such folder.
    }
  }

  static void instancesUnder(Path folder) {
    PID_FOLDERS.add(folder);
  }

  /** A command of the deploy file. */
  static String deployed(String name) throws IOException {
    for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
      if (line.startsWith(name + " = \"")) {
        return line.substring(name.length() + 4, line.lastIndexOf('"'));
      }
    }
    throw new IOException("no " + name);
  }

  static Process start(String name, Map<String, String> environment, List<String> command)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).directory(ROOT.toFile());
    builder.environment().putAll(environment);
    builder.redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
    builder.redirectErrorStream(true);
    builder.redirectOutput(temporary.resolve(name + ".log").toFile());
    Process process = builder.start();
    PROCESSES.add(process);
    return process;
  }

  /** Starts a node by the run command of the deploy file. */
  static Process node(String name, Path config) throws IOException {
    Path own = Files.createDirectories(temporary.resolve("tmp-" + name));
    return start(
        name,
        Map.of("ROUTER_CONFIG", config.toString(), "ROUTER_NAME", name, "TMPDIR", own.toString()),
        List.of("/bin/sh", "-c", deployed("run")));
  }

  static List<String> log(String name) {
    try {
      return Files.readAllLines(temporary.resolve(name + ".log"), StandardCharsets.ISO_8859_1);
    } catch (IOException e) {
      return List.of();
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Waits until a node answers mn with MN. */
  static void awaitReady(InetSocketAddress node) {
    for (int i = 0; i < 300; i++) {
      try (Socket socket = new Socket()) {
        socket.connect(node, 500);
        socket.setSoTimeout(500);
        socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
        if ("MN".equals(line(socket.getInputStream()))) {
          return;
        }
      } catch (IOException e) {
        // Not yet.
      }
      sleep(100);
    }
    say("the node is not ready");
    end(2);
  }

  /** Reads a line that ends in CRLF; null at the end. */
  static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        return text.toString().strip();
      }
      text.append((char) b);
    }
    return null;
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** A proxy whose bytes take so long each way, as between two server rooms. */
  static final class Delay {
    private final ServerSocket listener;
    private final int target;
    private final double millis;

    /** When bytes with this text first went to the target since it was last cleared; 0 for never. */
    private String watched;

    private volatile long seenAt;

    Delay(int target, double millis) throws IOException {
      this.target = target;
      this.millis = millis;
      listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
      daemon(this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    void watch(String text) {
      watched = text;
      seenAt = 0;
    }

    long seenAt() {
      return seenAt;
    }

    private void accept() {
      while (true) {
        try {
          Socket near = listener.accept();
          Socket far = new Socket(InetAddress.getByName("127.0.0.1"), target);
          near.setTcpNoDelay(true);
          far.setTcpNoDelay(true);
          pass(near, far);
          pass(far, near);
        } catch (IOException e) {
          note("proxy: " + e);
        }
      }
    }

    private record Piece(long due, byte[] bytes) {}

    private void pass(Socket from, Socket to) {
      ArrayDeque<Piece> queue = new ArrayDeque<>();
      daemon(
          () -> {
            byte[] buffer = new byte[16_384];
            try {
              InputStream in = from.getInputStream();
              for (int n = in.read(buffer); ; n = in.read(buffer)) {
                byte[] bytes = n < 0 ? null : java.util.Arrays.copyOf(buffer, n);
                synchronized (queue) {
                  queue.add(new Piece(System.nanoTime() + (long) (millis * 1e6), bytes));
                  queue.notify();
                }
                if (n < 0) {
                  return;
                }
              }
            } catch (IOException e) {
              synchronized (queue) {
                queue.add(new Piece(System.nanoTime() + (long) (millis * 1e6), null));
                queue.notify();
              }
            }
          });
      daemon(
          () -> {
            try {
              OutputStream out = to.getOutputStream();
              while (true) {
                Piece piece;
                synchronized (queue) {
                  while (queue.isEmpty()) {
                    queue.wait();
                  }
                  piece = queue.poll();
                }
                long rest = piece.due - System.nanoTime();
                if (rest > 0) {
                  TimeUnit.NANOSECONDS.sleep(rest);
                }
                if (piece.bytes == null) {
                  to.shutdownOutput();
                  return;
                }
                out.write(piece.bytes);
                String text = watched;
                if (text != null
                    && seenAt == 0
                    && new String(piece.bytes, StandardCharsets.ISO_8859_1).contains(text)) {
                  seenAt = System.nanoTime();
                }
              }
            } catch (IOException | InterruptedException e) {
              try {
                to.close();
                from.close();
              } catch (IOException closed) {
                // Closed already.
              }
            }
          });
    }
  }

  static void write(Path file, String text) throws IOException {
    Files.writeString(file, text, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING);
  }
}
