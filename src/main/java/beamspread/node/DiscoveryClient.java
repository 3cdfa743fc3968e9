package beamspread.node;

import beamspread.loop.SocketLook;
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
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Asks discovery for the list of servers. Where the list must be asked for, a call is made only
 * when the module says so, and its failure is told; where it is pushed, a watch is kept up here.
 */
final class DiscoveryClient {
  private static final String PATH = "/catalog/members";

  /** How long a watch that stands may say nothing: it sends at least an empty line every 2 s. */
  private static final long MAX_SILENCE_MILLIS = 3000;

  /** How long a call's answer may take to begin: discovery lets one wait for up to 2 s. */
  private static final long MAX_WAIT_MILLIS = 2500;

  /**
   * What is missed on a silent watch binds 6 s after it fell silent: 3 s until that is noticed, one
   * connect that hangs, the pause, and a second connect leave one second (design 0012).
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 800;

  private static final long RETRY_MILLIS = 400;

  /**
   * Least time from one watch to the next, whoever wants one and whatever the settings say. Guards
   * discovery, which is small and shared, against a node that has lost its measure.
   */
  private static final long LEAST_DISTANCE_NANOS = 200_000_000L;

  /** Longest list, for thousands of servers. */
  private static final int MAX_LIST = 4 << 20;

  /** Is told what comes of the calls, on the event loop. */
  interface Listener {
    /** A list, or changes of it, have come. */
    void list(MemberList list);

    /** Something is wrong with the list or with a call for it; it is asked for again here. */
    void listTrouble(String why);

    /** A call that was asked for has failed. */
    void listFailed(String why);
  }

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final boolean asked;
  private final Listener listener;
  private SocketAddress address;
  private long version;

  /**
   * Whether the version may not be counted from, so that the whole list is asked for: after a move,
   * since two services need not number alike, and after nonsense.
   */
  private boolean anew;

  private Call watch;

  /** The one call beside the watch, for the whole list that the watch has not told. */
  private Call reading;

  private long followedAt = System.nanoTime() - LEAST_DISTANCE_NANOS;

  /** Whether a watch is to begin as soon as its distance from the last one allows. */
  private boolean due;

  DiscoveryClient(
      EventLoop loop,
      Bootstrap bootstrap,
      SocketAddress address,
      boolean asked,
      long version,
      Listener listener) {
    this.loop = loop;
    this.bootstrap = bootstrap;
    this.address = address;
    this.asked = asked;
    this.version = version;
    this.listener = listener;
  }

  /** Follows the changes from the version last seen on. */
  void follow() {
    long early = followedAt + LEAST_DISTANCE_NANOS - System.nanoTime();
    if (early <= 0) {
      stop();
      followedAt = System.nanoTime();
      watch = new Call(true);
    } else if (!due) {
      due = true;
      loop.schedule(this::followIfDue, early, TimeUnit.NANOSECONDS);
    }
  }

  private void followIfDue() {
    if (due) {
      due = false;
      follow();
    }
  }

  /** Follows the service at another address from now on; until it answers, the list stays. */
  void move(SocketAddress to) {
    // At once: what the old one still says must not pass for the new one's.
    stop();
    address = to;
    anew = true;
    follow();
  }

  /** Stops following. */
  void stop() {
    due = false;
    if (watch != null) {
      watch.end();
      watch = null;
    }
    stopReading();
  }

  private void stopReading() {
    if (reading != null) {
      reading.end();
      reading = null;
    }
  }

  /** Asks once for the whole list; a call for it that is out already is enough. */
  private void readOnce() {
    if (reading == null) {
      reading = new Call(false);
    }
  }

  /** Asks for the whole list again, as long as it is missing and the watch that lacks it stands. */
  private void readAgain() {
    reading = null;
    Call since = watch;
    loop.schedule(
        () -> {
          if (anew && watch != null && watch == since) {
            readOnce();
          }
        },
        RETRY_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void failed(Call call, String why) {
    if (call == reading) {
      // The watch stands and tells all changes: the list has not failed.
      listener.listTrouble(why);
      readAgain();
      return;
    }
    if (call != watch) {
      return;
    }
    watch = null;
    stopReading();
    if (asked) {
      listener.listFailed(why);
    } else {
      listener.listTrouble(why);
      loop.schedule(
          () -> {
            if (watch == null) {
              follow();
            }
          },
          RETRY_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** One call and its answer. */
  private final class Call extends SimpleChannelInboundHandler<HttpObject> {
    private final boolean follows;
    private final ByteBuf text = Unpooled.buffer();
    private final ObjectScan scan = new ObjectScan();
    private final SocketAddress peer = address;
    private final boolean whole = anew;
    private final ChannelFuture connecting;
    private long heardAt = System.nanoTime();

    /** Whether its answer has begun. */
    private boolean answered;

    private boolean over;

    Call(boolean follows) {
      this.follows = follows;
      Bootstrap calling =
          bootstrap
              .clone()
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
              .handler(
                  new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      ch.pipeline().addLast(new HttpClientCodec(), Call.this);
                    }
                  });
      connecting = calling.connect(peer);
      if (connecting.isDone()) {
        // No socket could be made, which is told on another thread and before this call is known.
        loop.execute(this::connected);
      } else {
        connecting.addListener(done -> connected());
      }
      listen();
    }

    private void connected() {
      if (connecting.isSuccess()) {
        ask();
      } else {
        fail("no connection");
      }
    }

    private void ask() {
      String path = !follows ? PATH : PATH + "?follow=1" + (whole ? "" : "&since=" + version);
      var request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
      request
          .headers()
          .set(
              HttpHeaderNames.HOST,
              peer instanceof InetSocketAddress inet
                  ? inet.getAddress().getHostAddress() + ":" + inet.getPort()
                  : "localhost");
      connecting.channel().writeAndFlush(request);
    }

    /** Guards against discovery falling silent, where its connections stay open. */
    private void listen() {
      long now = System.nanoTime();
      long soonest = heardAt + MAX_SILENCE_MILLIS * 1_000_000L;
      // An answer that begins meanwhile shortens the patience.
      long at = soonest - now > 0 ? soonest : heardAt + patience();
      loop.schedule(this::notice, at - now, TimeUnit.NANOSECONDS);
    }

    private long patience() {
      return (answered && follows ? MAX_SILENCE_MILLIS : MAX_WAIT_MILLIS) * 1_000_000L;
    }

    private void notice() {
      if (over) {
        return;
      }
      if (silent()) {
        // It may have spoken while this node did not run: the timer is due before the socket is
        // looked at.
        SocketLook.read(connecting.channel());
        if (!over && silent()) {
          fail("silent");
        }
      }
      if (!over) {
        listen();
      }
    }

    private boolean silent() {
      return System.nanoTime() - heardAt >= patience();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message)
        throws WireException {
      if (over) {
        return;
      }
      heardAt = System.nanoTime();
      answered = true;
      if (message.decoderResult().isFailure()) {
        fail("malformed answer");
        return;
      }
      if (message instanceof HttpResponse response
          && !response.status().equals(HttpResponseStatus.OK)) {
        fail("answered " + response.status().code());
        return;
      }
      if (message instanceof HttpContent content) {
        boolean last = message instanceof LastHttpContent;
        if (follows) {
          follow(content.content());
        } else {
          read(content.content(), last);
        }
        if (last && !over) {
          fail("watch ended");
        }
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
        list(text.readSlice(end - text.readerIndex()));
        begun = end;
      }
      if (scan.between()) {
        text.clear();
      }
      text.discardReadBytes();
    }

    /** Takes in the answer to a call for the whole list. */
    private void read(ByteBuf bytes, boolean last) throws WireException {
      keep(bytes);
      if (last) {
        MemberList list = parse(text);
        end();
        if (list.version() < version) {
          // Older than what the watch has told since: it would take servers back.
          readAgain();
          return;
        }
        reading = null;
        take(list);
      }
    }

    private int scanned(int from) throws WireException {
      try {
        return scan.end(text, from);
      } catch (WireException e) {
        anew = true;
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
        anew = true;
        throw e;
      }
    }

    private void list(ByteBuf object) throws WireException {
      MemberList list = parse(object);
      boolean counted = version <= list.version();
      take(list);
      if (!list.full() && (anew || !counted)) {
        // It tells changes where the whole was asked for, or counts anew: what it leaves out may
        // have gone.
        anew = true;
        readOnce();
      }
    }

    private void take(MemberList list) {
      version = list.version();
      anew &= !list.full();
      listener.list(list);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      fail("connection ended");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(cause.getMessage());
    }

    private void fail(String why) {
      if (!over) {
        end();
        failed(this, why);
      }
    }

    void end() {
      over = true;
      if (connecting.cause() == null) {
        // One that has failed is closed, and may never have been a socket.
        connecting.channel().close();
      }
    }
  }
}
