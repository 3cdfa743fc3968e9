package beamspread.node.discovery;

import beamspread.loop.SocketPolling;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** One HTTP call to discovery and its answer. Runs on the event loop only. */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {
  /** Silence after which a watch fails; discovery sends an empty line at least every 2 s. */
  private static final long WATCH_SILENCE_TIMEOUT_MILLIS = 3000;

  /** Time within which an answer has to begin; discovery may queue a call for up to 2 s. */
  private static final long ANSWER_START_TIMEOUT_MILLIS = 2500;

  /** Longest pause between two parts of one list. */
  private static final long LIST_GAP_TIMEOUT_MILLIS = 1000;

  /** Time after the beginning of a list from which it has to arrive at the minimum rate. */
  private static final long MIN_RATE_APPLIES_AFTER_MILLIS = 1000;

  /** Minimum rate at which a list has to arrive. */
  private static final long MIN_BYTES_PER_SECOND = 16 << 10;

  /** Time within which a call has to return its first complete list, however it arrives. */
  private static final long FIRST_LIST_TIMEOUT_MILLIS = 4500;

  /**
   * Time within which a connect has to succeed. A new list has to arrive within 6 s after a watch
   * falls silent, because changes missed since then take effect at that time. Of these 6 s,
   * detecting the silence takes 3 s; a connect that times out, the retry delay and a second connect
   * take up to 2 s; one second is left for the answer (design 0012).
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 800;

  /** Maximum size of a list, enough for thousands of servers. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  /**
   * The request of a call.
   *
   * @param callNumber the number of the call, for the log
   * @param serverAddress the address of discovery
   * @param path the path and query of the URL
   * @param watch whether this is a watch, whose answer stays open and streams changes
   */
  record Query(long callNumber, SocketAddress serverAddress, String path, boolean watch) {}

  /** Receives the results of a call. */
  interface Listener {
    /** Called for each complete list or change that was received. */
    void listReceived(DiscoveryCall call, MemberList list);

    /** Called when a heartbeat shows that nothing has changed since the last list or change. */
    void listConfirmed(DiscoveryCall call);

    /** Called when a list could not be parsed; {@link #callFailed} follows. */
    void listMalformed();

    /** Called when the call fails; not called after {@link DiscoveryCall#cancel()}. */
    void callFailed(DiscoveryCall call, CallFailure failure);
  }

  private final EventLoop loop;
  private final Query query;
  private final Listener listener;
  private final ByteBuf buffer = Unpooled.buffer();
  private final JsonObjectScanner scanner = new JsonObjectScanner();
  private final ChannelFuture connectFuture;
  private final long startedNanos = System.nanoTime();
  private long lastReadNanos = startedNanos;

  /** Total delay of overdue timeout checks by event loop stalls; extends the first-list timeout. */
  private long stalledNanos;

  /** When the list that is being received began. */
  private long listStartedNanos;

  /** Bytes received so far of a list that is incomplete; 0 between lists. */
  private long partialListBytes;

  /** The next timeout check; null if none is scheduled. */
  private ScheduledFuture<?> timeoutCheck;

  /** When the next timeout check is due. */
  private long timeoutCheckAtNanos;

  /** Whether any part of the answer was received. */
  private boolean answerStarted;

  /** Whether a complete list or change was received. */
  private boolean listReceived;

  private boolean ended;

  /** Connects and sends the request. */
  DiscoveryCall(EventLoop loop, Bootstrap bootstrap, Query query, Listener listener) {
    this.loop = loop;
    this.query = query;
    this.listener = listener;
    Bootstrap callBootstrap =
        bootstrap
            .clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpClientCodec(), DiscoveryCall.this);
                  }
                });
    connectFuture = callBootstrap.connect(query.serverAddress());
    if (connectFuture.isDone()) {
      // The connect has already failed, because no socket could be opened. A listener added to the
      // future now could run on another thread, and before the constructor returns.
      loop.execute(this::onConnectFinished);
    } else {
      connectFuture.addListener(done -> onConnectFinished());
    }
    scheduleTimeoutCheck();
  }

  private void onConnectFinished() {
    if (connectFuture.isSuccess()) {
      sendRequest();
    } else {
      Throwable cause = connectFuture.cause();
      fail(connectFailureKind(cause), String.valueOf(cause.getMessage()));
    }
  }

  private static CallFailure.Kind connectFailureKind(Throwable cause) {
    if (cause instanceof ConnectTimeoutException) {
      return CallFailure.Kind.NO_CONNECTION;
    }
    boolean unreachable =
        cause instanceof ConnectException || cause instanceof NoRouteToHostException;
    return unreachable ? CallFailure.Kind.NOT_THERE : CallFailure.Kind.NOT_MADE;
  }

  private void sendRequest() {
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, query.path(), Unpooled.EMPTY_BUFFER);
    request
        .headers()
        .set(
            HttpHeaderNames.HOST,
            query.serverAddress() instanceof InetSocketAddress inet
                ? inet.getAddress().getHostAddress() + ":" + inet.getPort()
                : "localhost");
    connectFuture.channel().writeAndFlush(request);
  }

  /** Schedules the check for an answer that stops or is slow while its connection stays open. */
  private void scheduleTimeoutCheck() {
    long timeoutAt = timeoutAtNanos();
    if (timeoutCheck != null && timeoutAt - timeoutCheckAtNanos >= 0) {
      return;
    }
    if (timeoutCheck != null) {
      timeoutCheck.cancel(false);
    }
    timeoutCheckAtNanos = timeoutAt;
    timeoutCheck =
        loop.schedule(this::checkTimeout, timeoutAt - System.nanoTime(), TimeUnit.NANOSECONDS);
  }

  /** Returns when the call times out if nothing more is received. */
  private long timeoutAtNanos() {
    long silenceTimeoutAt = lastReadNanos + silenceTimeoutMillis() * 1_000_000L;
    long firstListTimeoutAt = startedNanos + stalledNanos + FIRST_LIST_TIMEOUT_MILLIS * 1_000_000L;
    return listReceived || silenceTimeoutAt - firstListTimeoutAt < 0
        ? silenceTimeoutAt
        : firstListTimeoutAt;
  }

  private long silenceTimeoutMillis() {
    if (partialListBytes > 0) {
      return LIST_GAP_TIMEOUT_MILLIS;
    }
    return listReceived ? WATCH_SILENCE_TIMEOUT_MILLIS : ANSWER_START_TIMEOUT_MILLIS;
  }

  private void checkTimeout() {
    timeoutCheck = null;
    if (!ended && isTimedOut()) {
      stalledNanos += System.nanoTime() - timeoutCheckAtNanos;
      // Data may have arrived while the event loop was stalled: after a stall, timers run before
      // sockets are read.
      SocketPolling.readNow(connectFuture.channel());
      if (!ended && isTimedOut()) {
        failTimedOut();
      }
    }
    if (!ended) {
      scheduleTimeoutCheck();
    }
  }

  private boolean isTimedOut() {
    return System.nanoTime() - timeoutAtNanos() >= 0;
  }

  private void failTimedOut() {
    if (System.nanoTime() - lastReadNanos < silenceTimeoutMillis() * 1_000_000L) {
      fail(CallFailure.Kind.SLOW, "no complete list yet");
    } else {
      fail(CallFailure.Kind.SILENT, answerStarted ? "the answer had started" : "no answer");
    }
  }

  /** Fails the call if its list arrives below the minimum rate, for example byte by byte. */
  private void failIfSlow() {
    long millis = (System.nanoTime() - listStartedNanos) / 1_000_000;
    if (partialListBytes > 0
        && millis >= MIN_RATE_APPLIES_AFTER_MILLIS
        && partialListBytes < MIN_BYTES_PER_SECOND * millis / 1000) {
      fail(CallFailure.Kind.SLOW, partialListBytes + " bytes of a list in " + millis + " ms");
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws WireException {
    if (ended) {
      return;
    }
    lastReadNanos = System.nanoTime();
    answerStarted = true;
    if (message.decoderResult().isFailure()) {
      fail(CallFailure.Kind.MALFORMED, "not HTTP");
      return;
    }
    if (message instanceof HttpResponse response
        && !response.status().equals(HttpResponseStatus.OK)) {
      fail(CallFailure.Kind.STATUS, Integer.toString(response.status().code()));
      return;
    }
    if (message instanceof HttpContent content) {
      boolean last = message instanceof LastHttpContent;
      if (query.watch()) {
        readWatch(content.content());
      } else {
        readFullList(content.content(), last);
      }
      if (last && !ended) {
        fail(CallFailure.Kind.ENDED, "");
      }
      if (!ended) {
        failIfSlow();
      }
    }
    if (!ended) {
      scheduleTimeoutCheck();
    }
  }

  /** Reads from a watch: consecutive JSON objects, each on one or several lines. */
  private void readWatch(ByteBuf bytes) throws WireException {
    int scanFrom = buffer.writerIndex();
    append(bytes);
    while (!ended) {
      int objectEnd = findObjectEnd(scanFrom);
      if (objectEnd < 0) {
        break;
      }
      deliver(parseList(buffer.readSlice(objectEnd - buffer.readerIndex())));
      scanFrom = objectEnd;
    }
    if (!ended && scanner.isBetweenObjects()) {
      buffer.clear();
      if (listReceived) {
        listener.listConfirmed(this);
      }
    }
    buffer.discardReadBytes();
    updatePartialList();
  }

  /** Updates the size and start time of the list that is being received. */
  private void updatePartialList() {
    if (buffer.isReadable() && partialListBytes == 0) {
      listStartedNanos = System.nanoTime();
    }
    partialListBytes = buffer.readableBytes();
  }

  /** Reads the answer to a call for the full list. */
  private void readFullList(ByteBuf bytes, boolean last) throws WireException {
    append(bytes);
    updatePartialList();
    if (last) {
      MemberList list = parseList(buffer);
      cancel();
      deliver(list);
    }
  }

  private void deliver(MemberList list) {
    listReceived = true;
    listener.listReceived(this, list);
  }

  private int findObjectEnd(int from) throws WireException {
    try {
      return scanner.findObjectEnd(buffer, from);
    } catch (WireException e) {
      listener.listMalformed();
      throw e;
    }
  }

  private void append(ByteBuf bytes) throws WireException {
    if (buffer.readableBytes() + bytes.readableBytes() > MAX_LIST_BYTES) {
      throw new WireException("list too long");
    }
    buffer.writeBytes(bytes);
  }

  private MemberList parseList(ByteBuf json) throws WireException {
    try {
      return MemberList.parse(Message.parse(json.toString(StandardCharsets.UTF_8)));
    } catch (WireException e) {
      listener.listMalformed();
      throw e;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(CallFailure.Kind.CONNECTION_LOST, "closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    CallFailure.Kind kind =
        cause instanceof WireException
            ? CallFailure.Kind.MALFORMED
            : CallFailure.Kind.CONNECTION_LOST;
    fail(kind, String.valueOf(cause.getMessage()));
  }

  private void fail(CallFailure.Kind kind, String detail) {
    if (!ended) {
      cancel();
      long millis = (System.nanoTime() - startedNanos) / 1_000_000;
      listener.callFailed(
          this, new CallFailure(kind, detail, query.callNumber(), millis, progress()));
    }
  }

  private CallFailure.Progress progress() {
    if (listReceived) {
      return CallFailure.Progress.LIST_RECEIVED;
    }
    return answerStarted ? CallFailure.Progress.ANSWER_STARTED : CallFailure.Progress.NONE;
  }

  /** Returns whether the answer has started but no list was received yet. */
  boolean isReceivingFirstList() {
    return answerStarted && !listReceived;
  }

  /** Ends the call; its listener is not called again. */
  void cancel() {
    ended = true;
    if (timeoutCheck != null) {
      timeoutCheck.cancel(false);
    }
    if (connectFuture.cause() == null) {
      // The channel of a failed connect is closed already and may never have had a socket.
      connectFuture.channel().close();
    }
  }
}
