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

/** One call to discovery and its answer. All of it runs on the event loop. */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {
  /** How long a watch that stands may say nothing: it sends at least an empty line every 2 s. */
  private static final long MAX_SILENCE_MILLIS = 3000;

  /** How long a watch in order says nothing at most, with some delay on the way. */
  private static final long LONGEST_BEAT_MILLIS = 2300;

  /** How long a call's answer may take to begin: discovery lets one wait for up to 2 s. */
  private static final long MAX_WAIT_MILLIS = 2500;

  /** How long nothing may come within a list that has begun. */
  private static final long MAX_GAP_MILLIS = 1000;

  /** From when on a list that has begun has to come at a least rate, and that rate. */
  private static final long SLOW_AFTER_MILLIS = 1000;

  private static final long LEAST_BYTES_A_SECOND = 16 << 10;

  /** How long a call may take to tell a list, however its answer comes. */
  private static final long MAX_CALL_MILLIS = 4500;

  /**
   * What is missed on a silent watch binds 6 s after it fell silent: 3 s until that is noticed, one
   * connect that hangs, the pause, and a second connect leave one second (design 0012).
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 800;

  /** Longest list, for thousands of servers. */
  private static final int MAX_LIST = 4 << 20;

  /**
   * What is asked for.
   *
   * @param number the number of the call
   * @param peer where discovery listens
   * @param path the path and query of the request
   * @param follows whether its answer is a watch, which stays open and tells changes as they come
   */
  record Query(long number, SocketAddress peer, String path, boolean follows) {}

  /** Is told what comes of the call. */
  interface Owner {
    /** A list, or changes of it, have come whole. */
    void told(DiscoveryCall call, MemberList list);

    /** The watch says that nothing has changed since what it told last. */
    void confirmed(DiscoveryCall call);

    /** Something has come that can't be read; the call fails next. */
    void unreadable();

    /** The call has ended without being told to. */
    void failed(DiscoveryCall call, CallFailure failure);
  }

  private final EventLoop loop;
  private final Query query;
  private final Owner owner;
  private final ByteBuf text = Unpooled.buffer();
  private final ObjectScan scan = new ObjectScan();
  private final ChannelFuture connecting;
  private final long begunAt = System.nanoTime();
  private long heardAt = begunAt;

  /** For how long this node did not run when it should have looked. */
  private long stoodNanos;

  /** When the list that is coming began, and how much of it has come. */
  private long listBegunAt;

  private long listBytes;

  /** The next look for silence, and when it is. */
  private ScheduledFuture<?> look;

  private long lookAt;

  /** Whether its answer has begun. */
  private boolean answered;

  /** Whether it has told a list or a change. */
  private boolean told;

  private boolean over;

  /** Connects and asks. */
  DiscoveryCall(EventLoop loop, Bootstrap bootstrap, Query query, Owner owner) {
    this.loop = loop;
    this.query = query;
    this.owner = owner;
    Bootstrap calling =
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
    connecting = calling.connect(query.peer());
    if (connecting.isDone()) {
      // No socket could be made, which is told on another thread and before this call is known.
      loop.execute(this::connected);
    } else {
      connecting.addListener(done -> connected());
    }
    lookInTime();
  }

  private void connected() {
    if (connecting.isSuccess()) {
      ask();
    } else {
      Throwable cause = connecting.cause();
      fail(unconnected(cause), String.valueOf(cause.getMessage()));
    }
  }

  private static CallFailure.Kind unconnected(Throwable cause) {
    if (cause instanceof ConnectTimeoutException) {
      return CallFailure.Kind.NO_CONNECTION;
    }
    boolean notThere = cause instanceof ConnectException || cause instanceof NoRouteToHostException;
    return notThere ? CallFailure.Kind.NOT_THERE : CallFailure.Kind.NOT_MADE;
  }

  private void ask() {
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, query.path(), Unpooled.EMPTY_BUFFER);
    request
        .headers()
        .set(
            HttpHeaderNames.HOST,
            query.peer() instanceof InetSocketAddress inet
                ? inet.getAddress().getHostAddress() + ":" + inet.getPort()
                : "localhost");
    connecting.channel().writeAndFlush(request);
  }

  /** Guards against discovery falling silent or slow, where its connections stay open. */
  private void lookInTime() {
    long at = patientUntil();
    if (look != null && at - lookAt >= 0) {
      return;
    }
    if (look != null) {
      look.cancel(false);
    }
    lookAt = at;
    look = loop.schedule(this::look, at - System.nanoTime(), TimeUnit.NANOSECONDS);
  }

  /** When the call fails if nothing more comes. */
  private long patientUntil() {
    long silent = heardAt + patienceMillis() * 1_000_000L;
    long late = begunAt + stoodNanos + MAX_CALL_MILLIS * 1_000_000L;
    return told || silent - late < 0 ? silent : late;
  }

  private long patienceMillis() {
    if (listBytes > 0) {
      return MAX_GAP_MILLIS;
    }
    return told ? MAX_SILENCE_MILLIS : MAX_WAIT_MILLIS;
  }

  private void look() {
    look = null;
    if (!over && overdue()) {
      stoodNanos += System.nanoTime() - lookAt;
      // It may have spoken while this node did not run: the timer is due before the socket is
      // looked at.
      SocketPolling.readNow(connecting.channel());
      if (!over && overdue()) {
        failOverdue();
      }
    }
    if (!over) {
      lookInTime();
    }
  }

  private boolean overdue() {
    return System.nanoTime() - patientUntil() >= 0;
  }

  private void failOverdue() {
    if (System.nanoTime() - heardAt < patienceMillis() * 1_000_000L) {
      fail(CallFailure.Kind.SLOW, "no list yet");
    } else {
      fail(CallFailure.Kind.SILENT, answered ? "its answer had begun" : "no answer");
    }
  }

  /** Guards against an answer that has no end since it comes byte by byte. */
  private void failIfSlow() {
    long millis = (System.nanoTime() - listBegunAt) / 1_000_000;
    if (listBytes > 0
        && millis >= SLOW_AFTER_MILLIS
        && listBytes < LEAST_BYTES_A_SECOND * millis / 1000) {
      fail(CallFailure.Kind.SLOW, listBytes + " bytes of a list in " + millis + " ms");
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws WireException {
    if (over) {
      return;
    }
    heardAt = System.nanoTime();
    answered = true;
    if (message.decoderResult().isFailure()) {
      fail(CallFailure.Kind.MALFORMED, "no HTTP");
      return;
    }
    if (message instanceof HttpResponse response
        && !response.status().equals(HttpResponseStatus.OK)) {
      fail(CallFailure.Kind.STATUS, Integer.toString(response.status().code()));
      return;
    }
    if (message instanceof HttpContent content) {
      boolean last = message instanceof LastHttpContent;
      if (query.follows()) {
        follow(content.content());
      } else {
        read(content.content(), last);
      }
      if (last && !over) {
        fail(CallFailure.Kind.ENDED, "");
      }
      if (!over) {
        failIfSlow();
      }
    }
    if (!over) {
      lookInTime();
    }
  }

  /** Takes in what a watch tells: one object after the other, each on one line or on several. */
  private void follow(ByteBuf bytes) throws WireException {
    int begun = text.writerIndex();
    keep(bytes);
    while (!over) {
      int end = scanned(begun);
      if (end < 0) {
        break;
      }
      tell(parse(text.readSlice(end - text.readerIndex())));
      begun = end;
    }
    if (!over && scan.between()) {
      text.clear();
      if (told) {
        owner.confirmed(this);
      }
    }
    text.discardReadBytes();
    listGrows();
  }

  /** Notes how much of a list has come that is not whole. */
  private void listGrows() {
    if (text.isReadable() && listBytes == 0) {
      listBegunAt = System.nanoTime();
    }
    listBytes = text.readableBytes();
  }

  /** Takes in the answer to a call for the whole list. */
  private void read(ByteBuf bytes, boolean last) throws WireException {
    keep(bytes);
    listGrows();
    if (last) {
      MemberList list = parse(text);
      end();
      tell(list);
    }
  }

  private void tell(MemberList list) {
    told = true;
    owner.told(this, list);
  }

  private int scanned(int from) throws WireException {
    try {
      return scan.end(text, from);
    } catch (WireException e) {
      owner.unreadable();
      throw e;
    }
  }

  private void keep(ByteBuf bytes) throws WireException {
    if (text.readableBytes() + bytes.readableBytes() > MAX_LIST) {
      throw new WireException("list too long");
    }
    text.writeBytes(bytes);
  }

  private MemberList parse(ByteBuf object) throws WireException {
    try {
      return MemberList.parse(Message.parse(object.toString(StandardCharsets.UTF_8)));
    } catch (WireException e) {
      owner.unreadable();
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
    if (!over) {
      end();
      long millis = (System.nanoTime() - begunAt) / 1_000_000;
      owner.failed(this, new CallFailure(kind, detail, query.number(), millis, progress()));
    }
  }

  private CallFailure.Progress progress() {
    if (told) {
      return CallFailure.Progress.TOLD;
    }
    return answered ? CallFailure.Progress.BEGUN : CallFailure.Progress.NONE;
  }

  /** Whether discovery has answered it, and told no list yet. */
  boolean hasBegun() {
    return answered && !told;
  }

  /** Whether it has told a list, is not within another, and was not silent for too long. */
  boolean inOrder() {
    return told
        && listBytes == 0
        && System.nanoTime() - heardAt <= LONGEST_BEAT_MILLIS * 1_000_000L;
  }

  /** Ends the call: nothing more is told of it. */
  void end() {
    over = true;
    if (look != null) {
      look.cancel(false);
    }
    if (connecting.cause() == null) {
      // One that has failed is closed, and may never have been a socket.
      connecting.channel().close();
    }
  }
}
