package beamspread.node;

import beamspread.sim.Message;
import beamspread.sim.WireException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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

  /**
   * How long discovery may say nothing: a watch sends at least an empty line every 2 s, and a call
   * waits in turn for about as long.
   */
  private static final long MAX_SILENCE_MILLIS = 4500;

  private static final int CONNECT_TIMEOUT_MILLIS = 2000;
  private static final long RETRY_MILLIS = 500;

  /**
   * Least time from one watch to the next, whoever wants one and whatever the settings say. Guards
   * discovery, which is small and shared, against a node that has lost its measure.
   */
  private static final long LEAST_DISTANCE_NANOS = 200_000_000L;

  /** Longest line, for thousands of servers. */
  private static final int MAX_LINE = 4 << 20;

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final boolean asked;
  private final Dispatcher dispatcher;
  private SocketAddress address;
  private long version;

  /**
   * Whether the version may not be counted from, so that the whole list is asked for: after a move,
   * since two services need not number alike, and after nonsense.
   */
  private boolean anew;

  private Call watch;
  private long followedAt = System.nanoTime() - LEAST_DISTANCE_NANOS;

  /** Whether a watch is to begin as soon as its distance from the last one allows. */
  private boolean due;

  DiscoveryClient(
      EventLoop loop,
      Bootstrap bootstrap,
      SocketAddress address,
      boolean asked,
      long version,
      Dispatcher dispatcher) {
    this.loop = loop;
    this.bootstrap = bootstrap;
    this.address = address;
    this.asked = asked;
    this.version = version;
    this.dispatcher = dispatcher;
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
  }

  /** Asks once for the whole list. */
  private void readOnce() {
    new Call(false);
  }

  private void failed(Call call, String why) {
    if (call == watch) {
      watch = null;
    }
    if (asked) {
      dispatcher.listFailed(why);
    } else {
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
    private final ByteBuf line = Unpooled.buffer();
    private final SocketAddress peer = address;
    private final boolean whole = anew;
    private final Channel channel;
    private long heardAt = System.nanoTime();
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
      var connected = calling.connect(peer);
      channel = connected.channel();
      connected.addListener(
          done -> {
            if (done.isSuccess()) {
              ask();
            } else {
              fail("no connection");
            }
          });
      listen();
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
      channel.writeAndFlush(request);
    }

    /** Guards against discovery falling silent, where its connections stay open. */
    private void listen() {
      loop.schedule(
          () -> {
            long silent = (System.nanoTime() - heardAt) / 1_000_000;
            if (silent >= MAX_SILENCE_MILLIS) {
              fail("silent");
            } else if (!over) {
              listen();
            }
          },
          MAX_SILENCE_MILLIS / 8,
          TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message)
        throws WireException {
      if (over) {
        return;
      }
      heardAt = System.nanoTime();
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
        take(content.content());
        if (message instanceof LastHttpContent && !over) {
          if (follows) {
            fail("watch ended");
          } else {
            end();
            list(line);
          }
        }
      }
    }

    private void take(ByteBuf bytes) throws WireException {
      line.writeBytes(bytes);
      while (follows && !over) {
        int length = line.bytesBefore((byte) '\n');
        if (length < 0) {
          break;
        }
        list(line.readSlice(length));
        line.skipBytes(1);
      }
      line.discardReadBytes();
      if (line.readableBytes() > MAX_LINE) {
        throw new WireException("line too long");
      }
    }

    private void list(ByteBuf text) throws WireException {
      String json = text.toString(StandardCharsets.UTF_8);
      if (!json.isBlank()) {
        MemberList list;
        try {
          list = MemberList.parse(Message.parse(json));
        } catch (WireException e) {
          anew = true;
          throw e;
        }
        version = list.version();
        if (list.full()) {
          anew = false;
        } else if (whole && anew) {
          // It tells changes although it was asked for all: what it leaves out may have gone.
          readOnce();
        }
        dispatcher.list(list);
      }
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
      channel.close();
    }
  }
}
