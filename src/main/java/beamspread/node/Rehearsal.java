package beamspread.node;

import beamspread.model.Outcome;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;
import beamspread.node.client.ClientConnections;
import beamspread.node.discovery.MemberList;
import beamspread.node.wire.MemoryBudget;
import beamspread.node.wire.MetaCommand;
import beamspread.node.wire.MetaReply;
import beamspread.node.wire.ValuePart;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends requests through a separate node within this process before the real one listens, to warm
 * up the JVM. Without it, the first requests of a start under full load on a fraction of a core
 * cost a hundred times as much as later ones, while classes are loaded and code is compiled, and
 * the queue that builds up takes seconds to clear. It uses no network: its peers are domain sockets
 * in the private temporary folder. It delays the start by a bounded time; if it can't run, the node
 * starts without it.
 */
final class Rehearsal {
  static final int REQUESTS = 300;

  /** Requests in flight at a time, few enough that no connection counts as overloaded. */
  private static final int CONCURRENT_REQUESTS = 8;

  private static final long MAX_DURATION_MILLIS = 2500;

  /** One of this many reads is answered with a value large enough to be relayed in parts. */
  private static final int READS_PER_LARGE_VALUE = 100;

  private static final String LARGE_VALUE = "v".repeat(70_000);

  /** The first calls that operators make. */
  private static final List<String> MANAGEMENT_PATHS = List.of("/_ready", "/_vars", "/_vars");

  private static final long MANAGEMENT_TIMEOUT_MILLIS = 300;

  private static final int SERVER_COUNT = 3;

  private final NodeConfig config;
  private final Path folder;
  private final CountDownLatch requestsDone = new CountDownLatch(1);
  private final CountDownLatch callsDone = new CountDownLatch(MANAGEMENT_PATHS.size());
  private int sent;
  private int answered;
  private int failed;

  private Rehearsal(NodeConfig config, Path folder) {
    this.config = config;
    this.folder = folder;
  }

  /**
   * Runs the rehearsal with the settings of this configuration; returns how many requests were
   * served.
   */
  static int run(NodeConfig config, Log log) {
    Path folder = null;
    try {
      String temporaryFolder = System.getenv("TMPDIR");
      Path base =
          Path.of(temporaryFolder == null || temporaryFolder.isEmpty() ? "/tmp" : temporaryFolder);
      // Not a random name: the library method for those would load all of the cryptography classes.
      folder =
          Files.createDirectory(
              base.resolve("r" + ProcessHandle.current().pid() + "-" + System.nanoTime()),
              PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
      if (!canConnect(folder.resolve("first"), folder.resolve("first"))) {
        log.info("no rehearsal: nobody comes to a domain socket here");
        return 0;
      }
      return new Rehearsal(config, folder).run();
    } catch (IOException | RuntimeException | InterruptedException e) {
      log.error("no rehearsal", e);
      return 0;
    } finally {
      delete(folder);
    }
  }

  /**
   * Returns whether a connection to one address arrives at a listener on the other. Some platforms
   * bind domain sockets but deliver no connections to them; there the rehearsal would wait for its
   * maximum duration at every start. Neither call blocks, because a kernel connects domain sockets
   * at once.
   */
  static boolean canConnect(Path listenPath, Path connectPath) throws IOException {
    try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        SocketChannel client = SocketChannel.open(StandardProtocolFamily.UNIX)) {
      server.bind(UnixDomainSocketAddress.of(listenPath));
      server.configureBlocking(false);
      client.configureBlocking(false);
      if (!client.connect(UnixDomainSocketAddress.of(connectPath))) {
        return false;
      }
      try (SocketChannel accepted = server.accept()) {
        return accepted != null;
      }
    } catch (SocketException e) {
      return false;
    }
  }

  private static void delete(Path folder) {
    if (folder == null) {
      return;
    }
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        if (Files.isDirectory(file)) {
          delete(file);
        } else {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    } catch (IOException e) {
      // A few empty files remain in a folder that ends with the process.
    }
  }

  private SocketAddress address(String name) {
    return UnixDomainSocketAddress.of(folder.resolve(name));
  }

  private int run() throws IOException, InterruptedException {
    List<MemberList.Member> members = new ArrayList<>();
    for (int i = 0; i < SERVER_COUNT; i++) {
      ServerEntry entry =
          new ServerEntry(i, config.settings().zone(), "", 0, ServerEntry.State.READY, 1, 0);
      members.add(new MemberList.Member(entry, address("server" + i)));
    }
    NodeConfig rehearsalConfig =
        new NodeConfig(
            address("node"),
            address("discovery"),
            1,
            config.sockets(),
            config.memoryMb(),
            new MemberList(true, 1, members),
            config.settings(),
            null,
            config.pool(),
            "rehearsal",
            false,
            null,
            config.management() == null
                ? null
                : new NodeConfig.Management(address("mgmt"), null, folder.resolve("shared")),
            null,
            null);
    Node node = new Node(rehearsalConfig, ClientConnections.Limits.defaults(8), Transport.DOMAIN);
    try {
      EventLoop loop = node.loop();
      MemoryBudget budget = new MemoryBudget(1 << 16);
      for (int i = 0; i < SERVER_COUNT; i++) {
        listen(
            loop,
            address("server" + i),
            pipeline ->
                pipeline.addLast(
                    new MetaCommand.Decoder(budget, config.settings().services()),
                    new CacheServer()));
      }
      listen(loop, address("discovery"), pipeline -> pipeline.addLast(new Discovery()));
      node.start();
      var client = Transport.DOMAIN.client().group(loop).handler(new Client());
      if (!client.connect(address("node")).await().isSuccess()) {
        return 0;
      }
      requestsDone.await(MAX_DURATION_MILLIS, TimeUnit.MILLISECONDS);
      if (config.management() != null) {
        // Without management no such calls ever arrive, and a start should be short.
        for (String path : MANAGEMENT_PATHS) {
          Transport.DOMAIN
              .client()
              .group(loop)
              .handler(new ManagementCall(path))
              .connect(address("mgmt"));
        }
        callsDone.await(MANAGEMENT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      }
    } finally {
      node.close();
    }
    return answered - failed;
  }

  private static void listen(EventLoop loop, SocketAddress at, Consumer<ChannelPipeline> handlers)
      throws InterruptedException {
    Transport.DOMAIN
        .server()
        .group(loop)
        .childHandler(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel channel) {
                handlers.accept(channel.pipeline());
              }
            })
        .bind(at)
        .await();
  }

  private static void write(ChannelHandlerContext ctx, String text) {
    ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), text));
  }

  /** A cache server that answers every command at once. */
  private static final class CacheServer extends ChannelInboundHandlerAdapter {
    private int reads;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      MetaCommand command = (MetaCommand) message;
      command.release();
      if (command.request == null) {
        write(ctx, command.immediateReply + "\r\n");
      } else if (command.request.write()) {
        write(ctx, "HD O" + command.request.id() + " c1\r\n");
      } else {
        String value = reads++ % READS_PER_LARGE_VALUE == 1 ? LARGE_VALUE : "value";
        String head = "VA " + value.length() + " O" + command.request.id() + " h1\r\n";
        write(ctx, head + value + "\r\n");
      }
    }
  }

  /**
   * A discovery server that answers the first bytes of a call with a change of no servers, and
   * keeps the call open.
   */
  private static final class Discovery extends ChannelInboundHandlerAdapter {
    private boolean called;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ReferenceCountUtil.release(message);
      if (!called) {
        called = true;
        String change = "{\"version\":2,\"full\":false,\"servers\":[]}\n";
        write(
            ctx,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(change.length())
                + "\r\n"
                + change
                + "\r\n");
      }
    }
  }

  /** One call of an operator. */
  private final class ManagementCall extends ChannelInboundHandlerAdapter {
    private final String path;

    ManagementCall(String path) {
      this.path = path;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      write(ctx, "GET " + path + " HTTP/1.1\r\nHost: localhost\r\n\r\n");
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ReferenceCountUtil.release(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      callsDone.countDown();
    }
  }

  /** A client that sends the next request after each answer. */
  private final class Client extends ChannelInboundHandlerAdapter {
    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
      ctx.pipeline().addBefore(ctx.name(), null, new MetaReply.Decoder());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
        sendNext(ctx);
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof ValuePart part) {
        part.bytes().release();
        if (!part.last()) {
          return;
        }
      } else {
        MetaReply reply = (MetaReply) message;
        reply.release();
        if (reply.followingBytes() > 0) {
          return;
        }
        failed += reply.result() == Outcome.Result.OK ? 0 : 1;
      }
      answered++;
      if (sent < REQUESTS) {
        sendNext(ctx);
      } else if (answered == REQUESTS) {
        requestsDone.countDown();
      }
    }

    private void sendNext(ChannelHandlerContext ctx) {
      List<Settings.ServiceClass> services = config.settings().services();
      Settings.ServiceClass service = services.get(sent % services.size());
      String flags =
          " O" + Long.toHexString((1L << 60) + sent) + " Pc=" + service.name() + ",d=1000";
      String key = " key" + sent % 97;
      sent++;
      write(
          ctx,
          service.effect() == Settings.Effect.SAFE
              ? "mg" + key + " v" + flags + "\r\n"
              : "ms" + key + " 5" + flags + ",k=1\r\nvalue\r\n");
    }
  }

  /**
   * Returns the configuration of a node in a small tier, for a rehearsal outside any deployment.
   *
   * @param mgmt whether operators can call
   */
  static NodeConfig sampleConfig(boolean mgmt) throws WireException {
    return NodeConfig.parse(
        Message.parse(
            (mgmt ? "{\"mgmt\":\"127.0.0.1:0\"," : "{")
                + """
            "listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
             "limits":{"sockets":256,"memory_mb":64},
             "known":{"version":1,"full":true,"servers":[]},
             "settings":{"instances":2,"discovery":"ask",
              "contract":{"grace-to-answer":0.02,"ask-within":10,"drain-grace":2,"cold-from":0.1,
               "warm-within":20,"overload-factor":3,"overload-for":2},
              "services":[{"name":"read","slo":1,"give-up":2,"effect":"retryable"},
               {"name":"put","slo":1,"give-up":2,"effect":"fragile"}],
              "caps":{"attempts-cap":6,"cancel":true,"connect-timeout":1,"conn-idle":60,
               "multiplex":32,"parallel-tries":true}}}
            """));
  }
}
