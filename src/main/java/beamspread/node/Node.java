package beamspread.node;

import beamspread.loop.AcceptGate;
import beamspread.loop.EventLoopMonitor;
import beamspread.loop.EventLoopThreads;
import beamspread.loop.MonitoredIoHandler;
import beamspread.loop.NettyLogging;
import beamspread.loop.SocketPolling;
import beamspread.loop.UnreleasedSockets;
import beamspread.node.client.AnswerMemory;
import beamspread.node.client.ClientCloseCause;
import beamspread.node.client.ClientConnections;
import beamspread.node.client.ClientHandler;
import beamspread.node.client.InputMemory;
import beamspread.node.handover.SharedFolder;
import beamspread.node.mgmt.MgmtServer;
import beamspread.node.relay.ValueRelays;
import beamspread.node.server.CloseCause;
import beamspread.node.tier.TierSocket;
import beamspread.node.variants.TablePuller;
import beamspread.node.variants.VariantConfig;
import beamspread.node.variants.VariantRewriter;
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
import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * One load balancer node: creates its components around one event loop, and shuts them down in
 * order.
 */
public final class Node implements AutoCloseable {
  /** How long the node still accepts connections after a planned restart has begun. */
  private static final long DRAIN_ACCEPT_MILLIS = 500;

  /**
   * Longest deadline that a planned restart waits for: the platform kills a node at most 0.7 s
   * later, whatever the deadlines of its clients.
   */
  private static final double MAX_DRAIN_SECONDS = 3;

  /**
   * The last answers are given this long before the process ends, so that they can still be sent.
   */
  private static final long FINAL_ANSWER_MARGIN_NANOS = 50_000_000L;

  /** Rounds in which up to 16 pending connections each are accepted before the listener closes. */
  private static final int MAX_ACCEPT_ROUNDS = 16;

  /** Interval between checks for connections that have passed their time limits. */
  private static final long SWEEP_INTERVAL_MILLIS = 100;

  /** Interval between reads of what the other processes of this node have written. */
  private static final long SYNCHRONIZE_INTERVAL_MILLIS = 100;

  /** Delay from closing the listener to closing connections: one iteration of the event loop. */
  private static final long LISTENER_CLOSE_MILLIS = 2;

  /** Pause within a reply of a cache server after which its request is sent elsewhere too. */
  private static final long STALLED_REPLY_NANOS = 400_000_000L;

  /** The node's memory is this many times what undecoded input of clients may take. */
  private static final long INPUT_PART_OF_MEMORY = 64;

  /** The node's memory is this many times what unread answers of clients may take. */
  private static final long ANSWER_PART_OF_MEMORY = 64;

  /** The node's memory is this many times what relayed values may take. */
  private static final long RELAY_PART_OF_MEMORY = 32;

  /** The node's memory is this many times what the values of writes may take. */
  private static final long WRITE_PART_OF_MEMORY = 32;

  /** The direct memory of the process is this many times what input and answers may take each. */
  private static final long PART_OF_DIRECT_MEMORY = 8;

  /** Size of the buffer for a read of a socket; it follows what the peer sends. */
  private static final int MIN_READ_BYTES = 512;

  private static final int INITIAL_READ_BYTES = 2048;
  private static final int MAX_CLIENT_READ_BYTES = 4096;

  /** Each relayed value holds one such buffer even when the memory for them is used up. */
  private static final int MAX_SERVER_READ_BYTES = 16_384;

  /** Exit code of a process whose event loop has ended by an error. */
  private static final int EXIT_LOOP_ENDED = 70;

  private final NodeConfig config;
  private final EventLoopThreads loopThreads;
  private final UnreleasedSockets unreleasedSockets;
  private final AcceptGate acceptGate = new ClientAcceptGate();
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final Transport transport;
  private final PooledByteBufAllocator allocator;
  private final ClientConnections clientConnections;
  private final ValueRelays relays;
  private final Dispatcher dispatcher;
  private final MemoryBudget valueMemory;
  private final Log log;
  private final EventLoopMonitor loopWatch;
  private final CountDownLatch drained = new CountDownLatch(1);
  private volatile Channel listener;
  private StatusSocket statusSocket;
  private SharedFolder sharedFolder;
  private OperatorCalls operatorCalls;
  private MgmtServer mgmtServer;
  private TierSocket tierSocket;
  private VariantKeys variantKeys;
  private NodeStatus.Configuration configuration;
  private boolean draining;

  /** Whether the process is this node's own, so that it ends with the event loop. */
  private volatile boolean endsProcess;

  /** Creates a node that is not listening yet. */
  Node(NodeConfig config) {
    this(
        config,
        ClientConnections.Limits.defaults(
            PoolPlan.sockets(config.sockets())
                - PoolPlan.serverSockets(config.sockets())
                - (config.management() == null ? 0 : MgmtServer.MAX_CONNECTIONS)),
        Transport.TCP);
  }

  Node(NodeConfig config, ClientConnections.Limits limits, Transport transport) {
    this(config, limits, relaySettings(config), transport);
  }

  /**
   * Returns the bounds for relayed values. Their memory and that for the values of writes, unread
   * answers and undecoded input stay within an eighth of the node's memory.
   */
  private static RelaySettings relaySettings(NodeConfig config) {
    return RelaySettings.defaults(
        Math.max(1 << 20, ((long) config.memoryMb() << 20) / RELAY_PART_OF_MEMORY),
        (long) (config.settings().limits().idleTimeout() * 1e9));
  }

  /** Returns the bound on undecoded input: small parts of the node's and of the direct memory. */
  private static long maxInputBytes(NodeConfig config) {
    return partOfMemory(config, INPUT_PART_OF_MEMORY);
  }

  /** Returns the bound on unread answers. */
  private static long maxAnswerBytes(NodeConfig config) {
    return partOfMemory(config, ANSWER_PART_OF_MEMORY);
  }

  private static long partOfMemory(NodeConfig config, long part) {
    long ofNode = ((long) config.memoryMb() << 20) / part;
    return Math.min(ofNode, PlatformDependent.maxDirectMemory() / PART_OF_DIRECT_MEMORY);
  }

  Node(
      NodeConfig config,
      ClientConnections.Limits limits,
      RelaySettings relaySettings,
      Transport transport) {
    this.config = config;
    this.transport = transport;
    log = new Log(config.name(), config.jsonLog());
    loopWatch = new EventLoopMonitor(this::onStall);
    unreleasedSockets = new UnreleasedSockets(loopWatch);
    clientConnections =
        new ClientConnections(
            limits,
            loopWatch,
            unreleasedSockets,
            new InputMemory(maxInputBytes(config)),
            new AnswerMemory(maxAnswerBytes(config)));
    loopThreads = new EventLoopThreads("node", this::onLoopEnded);
    group =
        new MultiThreadIoEventLoopGroup(
            1, loopThreads, MonitoredIoHandler.factory(NioIoHandler.newFactory(), loopWatch));
    loop = group.next();
    valueMemory = new MemoryBudget(((long) config.memoryMb() << 20) / WRITE_PART_OF_MEMORY);
    allocator = new PooledByteBufAllocator(true, 0, 1, 8192, 6, 64, 16, true);
    Bootstrap bootstrap =
        transport
            .client()
            .group(loop)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_SERVER_READ_BYTES))
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, config.settings().limits().connectTimeout() * 1e3));
    relays = new ValueRelays(relaySettings, loop, clientConnections::idleClockNanos);
    dispatcher =
        new Dispatcher(
            config,
            loop,
            bootstrap,
            config.pool(),
            STALLED_REPLY_NANOS,
            relays,
            loopWatch::maxUnreadNanos,
            unreleasedSockets,
            log);
  }

  /** Ends the process in place of a node that is alive and serves nobody. */
  private void onLoopEnded() {
    log.info("the event loop has ended by an error: the process ends");
    if (endsProcess) {
      Runtime.getRuntime().halt(EXIT_LOOP_ENDED);
    }
  }

  private void onStall(long nanos) {
    log.info("the event loop stood still for " + nanos / 1_000_000 + " ms");
    if (dispatcher == null) {
      return;
    }
    dispatcher.intake().onStall(nanos);
    if (listener != null) {
      // Accept now: connections that arrived during the stall are then read in the next iteration,
      // while it is still known how long their requests may have waited.
      SocketPolling.acceptNow(listener, clientConnections::acceptedCount, MAX_ACCEPT_ROUNDS);
    }
  }

  /**
   * Returns how much is read of one client's socket in one turn of the event loop: one buffer, so
   * that a client that sends at full speed leaves the others their turns.
   */
  private static AdaptiveRecvByteBufAllocator clientReads() {
    AdaptiveRecvByteBufAllocator reads =
        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_CLIENT_READ_BYTES);
    reads.maxMessagesPerRead(1);
    return reads;
  }

  /** Opens the status socket if the configuration names one. */
  private void openStatusSocket() throws IOException, InterruptedException {
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

  NodeStatus status() {
    return new NodeStatus(
        configuration,
        listener.localAddress().toString().replace("/", ""),
        mgmtServer == null ? null : mgmtServer.address().toString().replace("/", ""),
        dispatcher.openRequests(),
        clientConnections.openCount(),
        dispatcher.pools().socketCount(),
        dispatcher.targets().countsByState(),
        dispatcher.listStatus(),
        dispatcher.unservedByCause(),
        dispatcher.pools().replyStatistics(),
        clientConnections.closesByCause(),
        clientConnections.lostAnswersByCause(),
        NodeStatus.LargeValues.of(relayCounts()),
        draining,
        loopWatch.longestTurnNanos() / 1_000_000,
        loopWatch.pauseCount(),
        tierSocket,
        variantKeys);
  }

  /**
   * Runs a node until it is told to end; returns the exit code.
   *
   * @param tally whether it logs a tally line every second
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
    NettyLogging.install(log::warning);
    // Open the folder first, so that a process that already serves beside this one leaves its
    // learnt state there.
    SharedFolder shared = openSharedFolder(config, log);
    Rehearsal.run(config, log);
    Node node = new Node(config);
    node.endsProcess = true;
    node.sharedFolder = shared;
    // Install the hook before any client can connect: each accepted request must be answered at the
    // end.
    Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
    if (config.statusSocket() != null) {
      String digest = digest(bytes);
      node.configuration = new NodeStatus.Configuration(1, digest, 1, digest, null, false);
    }
    if (!SighupHandler.register(() -> node.reload(configFile))) {
      node.log.info("SIGHUP is ignored here: the configuration file is watched in its place");
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
      node.openStatusSocket();
    } catch (IOException | RuntimeException e) {
      System.err.println("serve: " + e.getMessage());
      node.close();
      return 1;
    }
    if (tally) {
      node.loop.execute(() -> node.dispatcher.startTally(node.clientConnections::openCount));
    }
    node.drained.await();
    return 0;
  }

  /**
   * Starts a node within this process, for callers that run many of them side by side.
   *
   * @throws WireException if its configuration can't be used
   */
  public static Node open(String configFile)
      throws WireException, IOException, InterruptedException {
    Node node = new Node(NodeConfig.load(configFile, NodeConfig.read(configFile)));
    node.start();
    return node;
  }

  /** Starts to listen; returns the address. */
  SocketAddress start() throws IOException, InterruptedException {
    NodeConfig.Management management = config.management();
    if (management != null) {
      sharedFolder = sharedFolder == null ? openSharedFolder(config, log) : sharedFolder;
      operatorCalls = new OperatorCalls(dispatcher, sharedFolder, log, resourceUsage());
      shareRequestIds();
    }
    loop.submit(
            () -> {
              if (operatorCalls != null) {
                operatorCalls.synchronize();
              }
              dispatcher.start(config.knownList());
              if (operatorCalls != null) {
                operatorCalls.restoreLearnedState();
              }
            })
        .await();
    // Only a node that can be upgraded shares its address: without management calls a second
    // process on the address is a mistake.
    var bindFuture =
        (management == null
                ? transport.clientListener(acceptGate)
                : transport.sharedClientListener(acceptGate))
            .group(loop)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, clientReads())
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    initClientChannel(channel);
                  }
                })
            .bind(config.listen());
    // The listener runs on the event loop before the first client is accepted, so that a restart
    // that begins at this moment closes the channel.
    bindFuture.addListener(done -> onBound(bindFuture.channel(), done.isSuccess()));
    if (!bindFuture.await().isSuccess()) {
      throw new IOException(bindFuture.cause().getMessage());
    }
    listener = bindFuture.channel();
    if (management != null) {
      byte[] token =
          management.token() == null ? null : management.token().getBytes(StandardCharsets.UTF_8);
      mgmtServer =
          new MgmtServer(
              loop,
              transport.server(),
              allocator,
              management.listen(),
              token,
              MgmtServer.CALL_TIMEOUT_MILLIS,
              operatorCalls);
      loop.execute(() -> operatorCalls.setAcceptingClients(true));
      loop.scheduleWithFixedDelay(
          operatorCalls::synchronize,
          SYNCHRONIZE_INTERVAL_MILLIS,
          SYNCHRONIZE_INTERVAL_MILLIS,
          TimeUnit.MILLISECONDS);
    }
    if (config.tier() != null) {
      tierSocket = TierSocket.open(loop, config.tier(), config.seed(), log::info);
    }
    if (config.variants() != null) {
      loop.execute(this::startVariants);
    }
    loop.scheduleWithFixedDelay(
        this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    return listener.localAddress();
  }

  /** Claims the ids of requests together with the other processes of this node, if it can. */
  private void shareRequestIds() {
    if (sharedFolder == null) {
      return;
    }
    try {
      dispatcher.intake().shareIds(sharedFolder.openRequestIds());
    } catch (IOException e) {
      log.error("ids of requests are not shared with other processes of this node", e);
    }
  }

  /** Returns its canonical keys; null if it has none. */
  VariantKeys variantKeys() {
    return variantKeys;
  }

  /** Starts to request the table of variants, and to replace keys by it. */
  private void startVariants() {
    VariantConfig part = config.variants();
    variantKeys = new VariantKeys(part.file().settings(), part.file().rules());
    dispatcher.useVariants(new VariantRewriter(variantKeys));
    Bootstrap calling = transport.client().group(loop);
    new TablePuller(loop, calling, part, config.name(), variantKeys, log::info).start();
  }

  /** Accepts clients as long as descriptors are left for them. */
  private final class ClientAcceptGate implements AcceptGate {
    @Override
    public boolean mayAccept(int unregistered) {
      return clientConnections.mayAccept(unregistered);
    }

    @Override
    public void acceptFailed(IOException cause) {
      log.info("a client's connection could not be accepted: " + cause.getMessage());
    }
  }

  private void onBound(Channel channel, boolean bound) {
    if (bound && draining) {
      channel.close();
    } else if (bound) {
      listener = channel;
    }
  }

  private OperatorCalls.ResourceUsage resourceUsage() {
    return new OperatorCalls.ResourceUsage() {
      @Override
      public int clientConnections() {
        return clientConnections.openCount();
      }

      @Override
      public int serverSockets() {
        return dispatcher.pools().socketCount();
      }

      @Override
      public void reserveForOthers(int otherClients, int otherServers, int open) {
        clientConnections.setHeldByOtherProcesses(otherClients);
        dispatcher.reserveForOthers(otherServers, open);
      }
    };
  }

  /**
   * Opens the folder that the processes of one node share; null if none is configured or it can't
   * be used.
   */
  private static SharedFolder openSharedFolder(NodeConfig config, Log log) {
    if (config.management() == null || config.management().folder() == null) {
      return null;
    }
    try {
      return SharedFolder.open(config.management().folder());
    } catch (IOException | RuntimeException e) {
      // Run without upgrades that lose no request rather than not at all.
      log.info(
          "no shared folder, detached servers are forgotten when the process ends: "
              + e.getMessage());
      return null;
    }
  }

  private void initClientChannel(Channel channel) {
    MetaCommand.Decoder decoder =
        new MetaCommand.Decoder(valueMemory, config.settings().services());
    channel
        .pipeline()
        .addLast(decoder, new ClientHandler(dispatcher.intake(), clientConnections, decoder));
  }

  private void sweep() {
    long now = System.nanoTime();
    try {
      clientConnections.closeExpired(now);
      dispatcher.pools().sweep(now);
      relays.closeExpired();
    } catch (RuntimeException e) {
      // A task that throws is not run again, and stalled connections would then never be closed.
      log.error("sweep", e);
    }
  }

  /** Reloads the configuration whenever its file has changed. */
  private void watch(String configFile) {
    ConfigWatch configWatch = new ConfigWatch(Path.of(configFile), () -> reload(configFile));
    loop.scheduleWithFixedDelay(
        configWatch::poll,
        ConfigWatch.POLL_INTERVAL_MILLIS,
        ConfigWatch.POLL_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Reloads the configuration. A file that can't be read, is incomplete or invalid changes nothing.
   */
  void reload(String configFile) {
    byte[] bytes = null;
    try {
      bytes = NodeConfig.read(configFile);
      NodeConfig newConfig = NodeConfig.load(configFile, bytes);
      String digest = configuration == null ? null : digest(bytes);
      loop.execute(
          () -> {
            dispatcher.reload(newConfig);
            if (tierSocket != null && newConfig.tier() != null) {
              tierSocket.setPeers(newConfig.tier().peers());
            }
            if (digest != null) {
              configuration = configuration.accepted(digest, newConfig.needsRestart(config));
            }
          });
    } catch (WireException | RuntimeException e) {
      log.info("the old configuration stays: " + e.getMessage());
      if (configuration != null) {
        String digest = bytes == null ? "" : digest(bytes);
        loop.execute(() -> configuration = configuration.refused(digest, e.getMessage()));
      }
    }
  }

  /**
   * Shuts down for a planned restart: accepts connections for a limited time, then closes each one
   * as it becomes idle. Returns when all requests are answered, or when the longest deadline has
   * passed.
   */
  void drain() {
    double drainSeconds = Math.min(MAX_DRAIN_SECONDS, config.longestDeadline());
    long millis = (long) (drainSeconds * 1e3) + DRAIN_ACCEPT_MILLIS + 100;
    long deadline = System.nanoTime() + millis * 1_000_000L;
    if (group.isShuttingDown()) {
      // It has never listened, or has already closed.
      return;
    }
    loop.execute(() -> beginDrain(deadline));
    try {
      drained.await(millis, TimeUnit.MILLISECONDS);
      if (statusSocket != null) {
        statusSocket.close();
      }
      closeSharedFolder();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void closeSharedFolder() {
    if (sharedFolder != null) {
      try {
        sharedFolder.close();
      } catch (IOException e) {
        // The lock ends with the process, and another process of the node removes the file at its
        // next check.
      }
    }
  }

  private void beginDrain(long deadline) {
    if (draining) {
      return;
    }
    draining = true;
    if (listener == null) {
      // It does not listen yet, so it has received no request.
      drained.countDown();
      return;
    }
    dispatcher.answerAllBy(deadline - FINAL_ANSWER_MARGIN_NANOS);
    boolean successor = false;
    if (operatorCalls != null) {
      operatorCalls.setAcceptingClients(false);
      successor = operatorCalls.othersAcceptClients();
    }
    if (tierSocket != null) {
      tierSocket.leave();
    }
    // If another process listens here, close at once: clients that reconnect should reach that
    // process.
    loop.schedule(
        () -> {
          // Accept what has connected while the event loop stalled: those clients were accepted by
          // the kernel.
          SocketPolling.acceptNow(listener, clientConnections::acceptedCount, MAX_ACCEPT_ROUNDS);
          listener.close();
          // The socket is closed when the event loop next polls its sockets, so connections close
          // after that.
          loop.schedule(
              () -> clientConnections.drain(deadline, drained::countDown),
              LISTENER_CLOSE_MILLIS,
              TimeUnit.MILLISECONDS);
        },
        successor ? 0 : DRAIN_ACCEPT_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Runs the rehearsal with sample settings, to record which classes a start loads; returns the
   * exit code. Beyond its own rehearsal, a start loads the classes that listen and connect over TCP
   * and that handle signals.
   */
  public static int rehearse() {
    try {
      Log log = new Log("rehearsal", false);
      NettyLogging.install(log::warning);
      int served = Rehearsal.run(Rehearsal.sampleConfig(true), log);
      SighupHandler.register(() -> {});
      Node node = new Node(Rehearsal.sampleConfig(false));
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
      return served > 0 ? 0 : 1;
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
    return dispatcher.pools().socketCount();
  }

  /** Returns how many servers the list names, read on the event loop. */
  public Future<Integer> listedServers() {
    return loop.submit(this::listedServerCount);
  }

  /** Returns how many servers the list names; call it on the event loop. */
  int listedServerCount() {
    return dispatcher.targets().detachments().listedCount();
  }

  int openRequests() {
    return dispatcher.openRequests();
  }

  int clientCount() {
    return clientConnections.openCount();
  }

  /** Returns the number of client connections that were accepted since the start. */
  long acceptedClients() {
    return clientConnections.acceptedCount();
  }

  /** Returns why connections to cache servers have ended. */
  Map<CloseCause, Long> serverClosesByCause() {
    return dispatcher.pools().replyStatistics().closesByCause();
  }

  /** Returns why connections of clients have ended. */
  Map<ClientCloseCause, Long> clientClosesByCause() {
    return clientConnections.closesByCause();
  }

  /** Returns the counts of relayed large values. */
  Relays relayCounts() {
    return relays.relays();
  }

  boolean isDrainingClients() {
    return clientConnections.isDraining();
  }

  /** Returns the address for operators; null if there is none. */
  SocketAddress mgmtAddress() {
    return mgmtServer == null ? null : mgmtServer.address();
  }

  /** Returns whether another process of this node accepts clients. */
  boolean hasSuccessor() {
    return operatorCalls.othersAcceptClients();
  }

  EventLoopMonitor watch() {
    return loopWatch;
  }

  /** Stops the node at once, without draining. */
  @Override
  public void close() {
    log.mute();
    loopThreads.expectEnd();
    // A short quiet period: handlers that run as channels close still release their buffers.
    group.shutdownGracefully(30, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    closeSharedFolder();
  }
}
