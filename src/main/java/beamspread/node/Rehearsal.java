package beamspread.node;

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
 * Runs a node of its own through some requests before the real one listens. Guards against a start
 * under full load on a part of a core: the first requests cost a hundred times what later ones do,
 * while classes are loaded and code is compiled, and what queues up then takes seconds to go. It
 * touches no network: its peers are sockets in the private temporary folder. It delays the start by
 * its length, which is bounded; where it cannot run, the node starts without it.
 */
final class Rehearsal {
  static final int REQUESTS = 300;

  /** Requests out at once, few enough that no connection is held to have too many. */
  private static final int TOGETHER = 8;

  private static final long LONGEST_MILLIS = 2500;

  /** Of so many reads one is answered with a value that is passed on as it comes. */
  private static final int LARGE = 100;

  private static final String LARGE_VALUE = "v".repeat(70_000);

  /** What operators ask for first. */
  private static final List<String> CALLS = List.of("/_ready", "/_vars", "/_vars");

  private static final long CALLS_MILLIS = 300;

  private static final int SERVERS = 3;

  private final NodeConfig config;
  private final Path folder;
  private final CountDownLatch done = new CountDownLatch(1);
  private final CountDownLatch called = new CountDownLatch(CALLS.size());
  private int sent;

  private Rehearsal(NodeConfig config, Path folder) {
    this.config = config;
    this.folder = folder;
  }

  /** Rehearses with the settings of this configuration; returns how many requests went through. */
  static int run(NodeConfig config, Log log) {
    Path folder = null;
    try {
      String temporary = System.getenv("TMPDIR");
      Path base = Path.of(temporary == null || temporary.isEmpty() ? "/tmp" : temporary);
      // A name of its own, not a random one: the library's would load all of the cryptography.
      folder =
          Files.createDirectory(
              base.resolve("r" + ProcessHandle.current().pid() + "-" + System.nanoTime()),
              PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
      if (!meets(folder.resolve("first"), folder.resolve("first"))) {
        log.line("no rehearsal: nobody comes to a domain socket here");
        return 0;
      }
      return new Rehearsal(config, folder).run();
    } catch (IOException | RuntimeException | InterruptedException e) {
      log.failure("no rehearsal", e);
      return 0;
    } finally {
      delete(folder);
    }
  }

  /**
   * Whether who connects to one address is met at another. Guards against a platform that binds
   * domain sockets and leads nobody to them: the rehearsal would wait there for its whole length,
   * at every start. Neither call waits, since a kernel connects domain sockets at once.
   */
  static boolean meets(Path listens, Path connects) throws IOException {
    try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        SocketChannel client = SocketChannel.open(StandardProtocolFamily.UNIX)) {
      server.bind(UnixDomainSocketAddress.of(listens));
      server.configureBlocking(false);
      client.configureBlocking(false);
      if (!client.connect(UnixDomainSocketAddress.of(connects))) {
        return false;
      }
      try (SocketChannel met = server.accept()) {
        return met != null;
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
      // A few empty files stay in a folder that ends with the process.
    }
  }

  private SocketAddress address(String name) {
    return UnixDomainSocketAddress.of(folder.resolve(name));
  }

  private int run() throws IOException, InterruptedException {
    List<MemberList.Member> members = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      ServerEntry entry =
          new ServerEntry(i, config.settings().zone(), "", 0, ServerEntry.State.READY, 1, 0);
      members.add(new MemberList.Member(entry, address("server" + i)));
    }
    NodeConfig rehearsed =
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
    Node node = new Node(rehearsed, ClientConnections.Limits.usual(8), Transport.DOMAIN);
    try {
      EventLoop loop = node.loop();
      MemoryBudget budget = new MemoryBudget(1 << 16);
      for (int i = 0; i < SERVERS; i++) {
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
      done.await(LONGEST_MILLIS, TimeUnit.MILLISECONDS);
      if (config.management() != null) {
        // Elsewhere nobody will ever call, and a start is to be short.
        for (String path : CALLS) {
          Transport.DOMAIN.client().group(loop).handler(new Call(path)).connect(address("mgmt"));
        }
        called.await(CALLS_MILLIS, TimeUnit.MILLISECONDS);
      }
    } finally {
      node.close();
    }
    return sent;
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

  private static void say(ChannelHandlerContext ctx, String text) {
    ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), text));
  }

  /** Answers every command at once. */
  private static final class CacheServer extends ChannelInboundHandlerAdapter {
    private int reads;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      MetaCommand command = (MetaCommand) message;
      command.release();
      if (command.request == null) {
        ctx.close();
      } else if (command.request.write()) {
        say(ctx, "HD O" + command.request.id() + " c1\r\n");
      } else {
        String value = reads++ % LARGE == 1 ? LARGE_VALUE : "value";
        String head = "VA " + value.length() + " O" + command.request.id() + " h1\r\n";
        say(ctx, head + value + "\r\n");
      }
    }
  }

  /** Answers the first bytes of a call with a change that changes nothing, and keeps it open. */
  private static final class Discovery extends ChannelInboundHandlerAdapter {
    private boolean called;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ReferenceCountUtil.release(message);
      if (!called) {
        called = true;
        String change = "{\"version\":2,\"full\":false,\"servers\":[]}\n";
        say(
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
  private final class Call extends ChannelInboundHandlerAdapter {
    private final String path;

    Call(String path) {
      this.path = path;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      say(ctx, "GET " + path + " HTTP/1.1\r\nHost: localhost\r\n\r\n");
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ReferenceCountUtil.release(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      called.countDown();
    }
  }

  /** Sends one request for each answer. */
  private final class Client extends ChannelInboundHandlerAdapter {
    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
      ctx.pipeline().addBefore(ctx.name(), null, new MetaReply.Decoder());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      for (int i = 0; i < TOGETHER; i++) {
        next(ctx);
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
      }
      if (sent < REQUESTS) {
        next(ctx);
      } else {
        done.countDown();
      }
    }

    private void next(ChannelHandlerContext ctx) {
      List<Settings.ServiceClass> services = config.settings().services();
      Settings.ServiceClass service = services.get(sent % services.size());
      String flags =
          " O" + Long.toHexString((1L << 60) + sent) + " Pc=" + service.name() + ",d=1000";
      String key = " key" + sent % 97;
      sent++;
      say(
          ctx,
          service.effect() == Settings.Effect.SAFE
              ? "mg" + key + " v" + flags + "\r\n"
              : "ms" + key + " 5" + flags + ",k=1\r\nvalue\r\n");
    }
  }

  /**
   * The settings of a small tier, for a rehearsal outside any deployment.
   *
   * @param mgmt whether operators can call
   */
  static NodeConfig sample(boolean mgmt) throws WireException {
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
