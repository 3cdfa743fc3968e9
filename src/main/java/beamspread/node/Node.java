package beamspread.node;

import beamspread.loop.LoopWatch;
import beamspread.loop.SocketLook;
import beamspread.loop.WatchedIoHandler;
import beamspread.node.client.ClientConnections;
import beamspread.node.client.ClientHandler;
import beamspread.node.handover.SharedFolder;
import beamspread.node.mgmt.MgmtServer;
import beamspread.node.relay.ValueRelays;
import beamspread.node.tier.TierSocket;
import beamspread.node.variants.TablePull;
import beamspread.node.variants.VariantPart;
import beamspread.node.variants.VariantTraffic;
import beamspread.node.wire.MemoryBudget;
import beamspread.node.wire.MetaCommand;
import beamspread.relay.RelaySettings;
import beamspread.relay.Relays;
import beamspread.sim.WireException;
import beamspread.variants.VariantKeys;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** One load balancer node: assembles its parts around one event loop, and ends them in order. */
public final class Node implements AutoCloseable {
  /** New connections go on coming for so long after a planned restart has begun. */
  private static final long ACCEPT_MILLIS = 500;

  /**
   * Longest deadline that a planned restart waits for: the platform ends a node 0.7 s later at the
   * latest, however long its clients would wait.
   */
  private static final double LONGEST_STOP = 3;

  /** The last answers are given so long before this process ends, for what carries them out. */
  private static final long LAST_ANSWERS_NANOS = 50_000_000L;

  /** Rounds of up to 16 connections that are accepted before the listener closes. */
  private static final int ACCEPT_ROUNDS = 16;

  /** How often connections are looked through for those that have outlived their time. */
  private static final long SWEEP_MILLIS = 100;

  /** How often this process looks at what the others of its node have done. */
  private static final long LOOK_MILLIS = 100;

  /** After the listener closes, until connections do: the loop goes round once. */
  private static final long ROUND_MILLIS = 2;

  /** How long nothing may come of a cache server's reply that is half here. */
  private static final long STUCK_NANOS = 400_000_000L;

  private final NodeConfig config;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final Transport transport;
  private final PooledByteBufAllocator allocator;
  private final ClientConnections clients;
  private final ValueRelays relays;
  private final Dispatcher dispatcher;
  private final MemoryBudget values;
  private final Log log;
  private final LoopWatch watch;
  private final CountDownLatch drained = new CountDownLatch(1);
  private volatile Channel listener;
  private StatusSocket statusSocket;
  private SharedFolder shared;
  private OperatorCalls operators;
  private MgmtServer mgmt;
  private TierSocket tier;
  private VariantKeys variants;
  private NodeStatus.Configuration configuration;
  private boolean draining;

  /** A node that is not listening yet. */
  Node(NodeConfig config) {
    this(
        config,
        ClientConnections.Limits.usual(
            PoolPlan.sockets(config.sockets())
                - PoolPlan.serverSockets(config.sockets())
                - (config.management() == null ? 0 : MgmtServer.CONNECTIONS)),
        Transport.TCP);
  }

  Node(NodeConfig config, ClientConnections.Limits limits, Transport transport) {
    this(config, limits, relayed(config), transport);
  }

  /** As much again as for the values of writes: what both hold stays within an eighth. */
  private static RelaySettings relayed(NodeConfig config) {
    return RelaySettings.usual(Math.max(1 << 20, (long) config.memoryMb() << 16));
  }

  Node(
      NodeConfig config,
      ClientConnections.Limits limits,
      RelaySettings relayed,
      Transport transport) {
    this.config = config;
    this.transport = transport;
    log = new Log(config.name(), config.jsonLog());
    watch = new LoopWatch(this::paused);
    clients = new ClientConnections(limits, watch);
    group =
        new MultiThreadIoEventLoopGroup(
            1, WatchedIoHandler.factory(NioIoHandler.newFactory(), watch));
    loop = group.next();
    values = new MemoryBudget((long) config.memoryMb() << 16);
    allocator = new PooledByteBufAllocator(true, 0, 1, 8192, 6, 64, 16, true);
    Bootstrap bootstrap =
        transport
            .client()
            .group(loop)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, config.settings().limits().connectTimeout() * 1e3));
    relays = new ValueRelays(relayed, clients::idleClock);
    dispatcher =
        new Dispatcher(
            config, loop, bootstrap, config.pool(), STUCK_NANOS, relays, watch::unreadNanos, log);
  }

  private void paused(long nanos) {
    log.line("the event loop stood still for " + nanos / 1_000_000 + " ms");
    if (dispatcher == null) {
      return;
    }
    dispatcher.intake().stalled(nanos);
    if (listener != null) {
      // Whoever connected meanwhile is read in the next turn, when it is still known how long its
      // request may have waited.
      SocketLook.accept(listener, clients::accepted, ACCEPT_ROUNDS);
    }
  }

  /** Tells the status where the configuration says so. */
  private void tellStatus() throws IOException, InterruptedException {
    if (config.statusSocket() != null) {
      statusSocket = StatusSocket.open(loop, config.statusSocket(), this::status);
    }
  }

  private static String digest(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private NodeStatus status() {
    return new NodeStatus(
        configuration,
        listener.localAddress().toString().replace("/", ""),
        mgmt == null ? null : mgmt.address().toString().replace("/", ""),
        dispatcher.openRequests(),
        clients.count(),
        dispatcher.pools().sockets(),
        dispatcher.targets().states(),
        dispatcher.listStatus(),
        dispatcher.unserved(),
        NodeStatus.Values.of(relays()),
        draining,
        watch.longestNanos() / 1_000_000,
        watch.pauses(),
        tier,
        variants);
  }

  /**
   * Runs a node until it is told to end; returns the exit code.
   *
   * @param tally whether it writes what it does in each second to its log
   */
  public static int serve(String configFile, boolean tally) throws InterruptedException {
    NodeConfig config;
    byte[] bytes;
    try {
      bytes = NodeConfig.read(configFile);
      config = NodeConfig.load(configFile, bytes);
    } catch (WireException e) {
      System.err.println("serve: " + e.getMessage());
      return 2;
    }
    Log log = new Log(config.name(), config.jsonLog());
    // First, so that a process that serves beside this one tells it what it has learnt.
    SharedFolder shared = sharedFolder(config, log);
    Rehearsal.run(config, log);
    Node node = new Node(config);
    node.shared = shared;
    // Before anybody can be answered here: whoever has been is owed an end in order.
    Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
    if (config.statusSocket() != null) {
      String digest = digest(bytes);
      node.configuration = new NodeStatus.Configuration(1, digest, 1, digest, null, false);
    }
    if (!Hangup.handle(() -> node.reload(configFile))) {
      node.log.line("SIGHUP is ignored here: the configuration file is watched in its place");
      node.watch(configFile);
    }
    try {
      node.start();
    } catch (IOException e) {
      System.err.println("serve: cannot listen on " + config.listen() + ": " + e.getMessage());
      node.close();
      return 1;
    }
    try {
      node.tellStatus();
    } catch (IOException | RuntimeException e) {
      System.err.println("serve: " + e.getMessage());
      node.close();
      return 1;
    }
    if (tally) {
      node.loop.execute(() -> node.dispatcher.tally(node.clients::count));
    }
    node.drained.await();
    return 0;
  }

  /**
   * A node that listens within this process, for who runs many of them side by side.
   *
   * @throws WireException if its configuration can't be used
   */
  public static Node open(String configFile)
      throws WireException, IOException, InterruptedException {
    Node node = new Node(NodeConfig.load(configFile, NodeConfig.read(configFile)));
    node.start();
    return node;
  }

  /** Listens; returns the address. */
  SocketAddress start() throws IOException, InterruptedException {
    NodeConfig.Management management = config.management();
    if (management != null) {
      shared = shared == null ? sharedFolder(config, log) : shared;
      operators = new OperatorCalls(dispatcher, shared, log, holdings());
    }
    loop.submit(
            () -> {
              if (operators != null) {
                operators.look();
              }
              dispatcher.start(config.known());
              if (operators != null) {
                operators.inherit();
              }
            })
        .await();
    // Only a node that can be upgraded shares its address: elsewhere a second one is a mistake.
    var bound =
        (management == null ? transport.server() : transport.sharedServer())
            .group(loop)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 2048, 16384))
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(config.listen());
    // On the loop, before the first client is accepted: a restart that begins now finds it.
    bound.addListener(done -> listening(bound.channel(), done.isSuccess()));
    if (!bound.await().isSuccess()) {
      throw new IOException(bound.cause().getMessage());
    }
    listener = bound.channel();
    if (management != null) {
      byte[] token =
          management.token() == null ? null : management.token().getBytes(StandardCharsets.UTF_8);
      mgmt =
          new MgmtServer(
              loop,
              transport.server(),
              allocator,
              management.listen(),
              token,
              MgmtServer.PATIENCE_MILLIS,
              operators);
      loop.execute(() -> operators.takes(true));
      loop.scheduleWithFixedDelay(operators::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }
    if (config.tier() != null) {
      tier = TierSocket.open(loop, config.tier(), config.seed(), log::line);
    }
    if (config.variants() != null) {
      loop.execute(this::shareVariants);
    }
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    return listener.localAddress();
  }

  /** Its canonical keys; null for none. */
  VariantKeys variants() {
    return variants;
  }

  /** Begins to ask for the table of variants, and to replace keys by it. */
  private void shareVariants() {
    VariantPart part = config.variants();
    variants = new VariantKeys(part.file().settings(), part.file().rules());
    dispatcher.use(new VariantTraffic(variants));
    Bootstrap calling = transport.client().group(loop);
    new TablePull(loop, calling, part, config.name(), variants, log::line).start();
  }

  private void listening(Channel channel, boolean up) {
    if (up && draining) {
      channel.close();
    } else if (up) {
      listener = channel;
    }
  }

  private OperatorCalls.Holdings holdings() {
    return new OperatorCalls.Holdings() {
      @Override
      public int clients() {
        return clients.count();
      }

      @Override
      public int servers() {
        return dispatcher.pools().sockets();
      }

      @Override
      public void share(int otherClients, int otherServers, int open) {
        clients.share(otherClients);
        dispatcher.share(otherServers, open);
      }
    };
  }

  /** Opens what the processes of one node share; null if there is nothing, or it can't be used. */
  private static SharedFolder sharedFolder(NodeConfig config, Log log) {
    if (config.management() == null || config.management().folder() == null) {
      return null;
    }
    try {
      return SharedFolder.open(config.management().folder());
    } catch (IOException | RuntimeException e) {
      // Better a node that can't be upgraded without loss than none.
      log.line("no shared folder, servers taken out are forgotten at an end: " + e.getMessage());
      return null;
    }
  }

  private void accept(Channel channel) {
    MetaCommand.Decoder decoder = new MetaCommand.Decoder(values, config.settings().services());
    channel.pipeline().addLast(decoder, new ClientHandler(dispatcher.intake(), clients, decoder));
  }

  private void sweep() {
    long now = System.nanoTime();
    try {
      clients.sweep(now);
      dispatcher.pools().sweep(now);
      relays.sweep();
    } catch (RuntimeException e) {
      // A task that throws is not run again, and then nothing would end what is stuck.
      log.failure("sweep", e);
    }
  }

  /** Reads the configuration again whenever its file has changed. */
  private void watch(String configFile) {
    ConfigWatch files = new ConfigWatch(Path.of(configFile), () -> reload(configFile));
    loop.scheduleWithFixedDelay(
        files::look, ConfigWatch.LOOK_MILLIS, ConfigWatch.LOOK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Reads the configuration again. A file that cannot be read, is only half there or makes no sense
   * changes nothing: the node goes on as it was.
   */
  void reload(String configFile) {
    byte[] bytes = null;
    try {
      bytes = NodeConfig.read(configFile);
      NodeConfig changed = NodeConfig.load(configFile, bytes);
      String digest = configuration == null ? null : digest(bytes);
      loop.execute(
          () -> {
            dispatcher.reload(changed);
            if (tier != null && changed.tier() != null) {
              tier.setPeers(changed.tier().peers());
            }
            if (digest != null) {
              configuration = configuration.accepted(digest, changed.needsRestart(config));
            }
          });
    } catch (WireException | RuntimeException e) {
      log.line("the old configuration stays: " + e.getMessage());
      if (configuration != null) {
        String digest = bytes == null ? "" : digest(bytes);
        loop.execute(() -> configuration = configuration.refused(digest, e.getMessage()));
      }
    }
  }

  /**
   * A planned restart: goes on accepting for as long as connections may come, then ends each one as
   * it falls idle; returns when all is answered, or when the longest deadline has passed.
   */
  void drain() {
    double longest = Math.min(LONGEST_STOP, config.longestDeadline());
    long millis = (long) (longest * 1e3) + ACCEPT_MILLIS + 100;
    long until = System.nanoTime() + millis * 1_000_000L;
    if (group.isShuttingDown()) {
      // It has never listened, or has ended already.
      return;
    }
    loop.execute(() -> beginDrain(until));
    try {
      drained.await(millis, TimeUnit.MILLISECONDS);
      if (statusSocket != null) {
        statusSocket.close();
      }
      leaveShared();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void leaveShared() {
    if (shared != null) {
      try {
        shared.close();
      } catch (IOException e) {
        // The lock ends with the process, and the file with the next look of another one.
      }
    }
  }

  private void beginDrain(long until) {
    if (draining) {
      return;
    }
    draining = true;
    if (listener == null) {
      // It does not listen yet: nothing was taken.
      drained.countDown();
      return;
    }
    dispatcher.endBy(until - LAST_ANSWERS_NANOS);
    boolean successor = false;
    if (operators != null) {
      operators.takes(false);
      successor = operators.othersTake();
    }
    if (tier != null) {
      tier.leave();
    }
    // Where another process listens here, whoever comes back had better come to that one.
    loop.schedule(
        () -> {
          // Whoever has connected while this node did not run was told that it listens.
          SocketLook.accept(listener, clients::accepted, ACCEPT_ROUNDS);
          listener.close();
          // The socket is closed when the loop next looks at its sockets: nothing long before that.
          loop.schedule(
              () -> clients.drain(until, drained::countDown), ROUND_MILLIS, TimeUnit.MILLISECONDS);
        },
        successor ? 0 : ACCEPT_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Rehearses on made-up settings, for a look at what a start loads; returns the exit code. A start
   * loads what listens and connects over TCP, and what takes signals, beyond its own rehearsal.
   */
  public static int rehearse() {
    try {
      Log log = new Log("rehearsal", false);
      int sent = Rehearsal.run(Rehearsal.sample(true), log);
      Hangup.handle(() -> {});
      Node node = new Node(Rehearsal.sample(false));
      try {
        SocketAddress address = node.start();
        Transport.TCP
            .client()
            .group(node.loop)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(address)
            .await()
            .channel()
            .close()
            .await();
      } finally {
        node.close();
      }
      return sent > 0 ? 0 : 1;
    } catch (WireException e) {
      throw new IllegalStateException(e);
    } catch (IOException | InterruptedException e) {
      System.err.println("rehearse: " + e.getMessage());
      return 1;
    }
  }

  EventLoop loop() {
    return loop;
  }

  int serverSockets() {
    return dispatcher.pools().sockets();
  }

  /** How many servers the list names, as the event loop knows it. */
  public Future<Integer> listed() {
    return loop.submit(this::servers);
  }

  /** How many servers the list names. */
  int servers() {
    return dispatcher.targets().detachments().listed();
  }

  int openRequests() {
    return dispatcher.openRequests();
  }

  int clients() {
    return clients.count();
  }

  /** What has become of large values. */
  Relays relays() {
    return relays.figures();
  }

  boolean drainsClients() {
    return clients.draining();
  }

  /** Where operators call; null for nowhere. */
  SocketAddress mgmtAddress() {
    return mgmt == null ? null : mgmt.address();
  }

  /** Whether another process of this node takes clients. */
  boolean seesSuccessor() {
    return operators.othersTake();
  }

  LoopWatch watch() {
    return watch;
  }

  /** Ends at once. */
  @Override
  public void close() {
    log.mute();
    // A short quiet time: what the closing of channels sets off still releases their buffers.
    group.shutdownGracefully(30, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    leaveShared();
  }
}
