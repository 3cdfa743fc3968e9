package beamspread.standin;

import beamspread.node.SighupHandler;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A process that behaves as a node does towards its agent: it reads its configuration at the start
 * and at each SIGHUP, tells its status on a socket, and writes down what it saw. It serves nobody
 * and is far smaller than a node. What it does wrong, it does on command.
 *
 * <p>Arguments: the status socket, the file that it writes down what it saw in, then any of {@code
 * exit=CODE} (ends at once), {@code ignore-term}, {@code ignore-hup}, {@code silent} (takes
 * connections on the socket and never answers), {@code slow-hup=MILLIS}.
 */
public final class StandInNode {
  private static final int MOST_SECONDS = 600;

  private final Path config = Path.of(System.getenv("ROUTER_CONFIG"));
  private final Path journal;
  private final Set<String> faults;
  private long generation;
  private long readings;
  private String digest = "";
  private String tried = "";
  private String refusal;

  private StandInNode(Path journal, Set<String> faults) {
    this.journal = journal;
    this.faults = faults;
  }

  /** Runs until it is told to end, or for ten minutes. */
  public static void main(String[] args) throws Exception {
    Set<String> faults = new HashSet<>(List.of(args).subList(2, args.length));
    for (String fault : faults) {
      if (fault.startsWith("exit=")) {
        System.out.println("ending as told");
        System.exit(Integer.parseInt(fault.substring(5)));
      }
    }
    StandInNode node = new StandInNode(Path.of(args[1]), faults);
    node.run(Path.of(args[0]));
  }

  private long number(String name) {
    for (String fault : faults) {
      if (fault.startsWith(name + "=")) {
        return Long.parseLong(fault.substring(name.length() + 1));
      }
    }
    return 0;
  }

  private void run(Path socket) throws Exception {
    read("start");
    SighupHandler.register(
        () -> {
          if (!faults.contains("ignore-hup")) {
            pause(number("slow-hup"));
            read("hup");
          }
        });
    if (faults.contains("ignore-term")) {
      Runtime.getRuntime().addShutdownHook(new Thread(() -> pause(MOST_SECONDS * 1000L)));
    }
    Files.deleteIfExists(socket);
    ServerSocketChannel listener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
    listener.bind(UnixDomainSocketAddress.of(socket), 64);
    Thread telling = new Thread(() -> tell(listener), "status");
    telling.setDaemon(true);
    telling.start();
    new CountDownLatch(1).await(MOST_SECONDS, TimeUnit.SECONDS);
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void read(String why) {
    readings++;
    String seen;
    try {
      byte[] bytes = Files.readAllBytes(config);
      tried = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
      boolean bad = new String(bytes, StandardCharsets.UTF_8).contains("refuse-me");
      refusal = bad && generation > 0 ? "told to refuse this file" : null;
    } catch (IOException | NoSuchAlgorithmException e) {
      tried = "";
      refusal = "cannot read " + config;
    }
    if (refusal == null) {
      generation++;
      digest = tried;
      seen = "accepted";
    } else {
      seen = "refused";
    }
    try {
      Files.writeString(
          journal,
          ProcessHandle.current().pid() + " " + why + " " + seen + " " + tried + "\n",
          StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
    } catch (IOException e) {
      System.out.println("cannot write " + journal);
    }
  }

  private synchronized String status() {
    return ("{\"pid\":%d,\"listen\":\"\",\"generation\":%d,\"digest\":\"%s\",\"readings\":%d,"
            + "\"tried_digest\":\"%s\",\"refusal\":%s,\"needs_restart\":false,"
            + "\"open_requests\":0,\"client_connections\":0,\"server_connections\":0,"
            + "\"servers\":{\"active\":0,\"leaving\":0},\"draining\":false}\n")
        .formatted(
            ProcessHandle.current().pid(),
            generation,
            digest,
            readings,
            tried,
            refusal == null ? "null" : "\"" + refusal + "\"");
  }

  private void tell(ServerSocketChannel listener) {
    while (listener.isOpen()) {
      try {
        SocketChannel channel = listener.accept();
        if (!faults.contains("silent")) {
          channel.write(ByteBuffer.wrap(status().getBytes(StandardCharsets.UTF_8)));
          channel.close();
        }
      } catch (IOException e) {
        // Whoever asked has gone.
      }
    }
  }
}
