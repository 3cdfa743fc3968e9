package beamspread.agent;

import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import beamspread.lease.FencingToken;
import beamspread.loop.ListeningSocket;
import beamspread.loop.SocketPolling;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The agent's API: HTTP/1.1 and JSON under {@code /v1}. Connections, bodies and the time for a
 * request are bounded. Where a token is set, a call without it changes and learns nothing.
 */
final class AgentServer implements AutoCloseable {
  private static final int LONGEST_BODY = 1 << 20;
  private static final int MOST_CONNECTIONS = 128;

  /** Of these, how many are for calls that renew or give back leases. */
  private static final int KEPT_CONNECTIONS = 16;

  private static final long REQUEST_MILLIS = 10_000;
  private static final long IDLE_MILLIS = 60_000;

  /** How long a caller that was turned away has to read why. */
  private static final long LINGER_MILLIS = 2000;

  private static final long HEARTBEAT_MILLIS = 5000;
  private static final String BEARER = "Bearer ";
  private static final Set<String> ABOUT_LEASES = Set.of("/v1/leases/renew", "/v1/leases/release");

  private final AgentCore core;
  private final EventLoop loop;
  private final byte[] tokenDigest;
  private final SslContext tls;
  private final CallerNames names;
  private final CallerBook<Channel> callers = new CallerBook<>(MOST_CONNECTIONS, KEPT_CONNECTIONS);
  private Channel listener;

  AgentServer(AgentCore core, EventLoop loop, AgentConfig.Api config) throws IOException {
    this.core = core;
    this.loop = loop;
    tokenDigest = config.token() == null ? null : digest(Files.readString(config.token()).strip());
    tls =
        config.certificate() == null
            ? null
            : SslContextBuilder.forServer(config.certificate().toFile(), config.key().toFile())
                .build();
    names = new CallerNames(config.host(), config.names(), tls != null);
  }

  /** Listens; returns the URL. */
  String listen(AgentConfig.Api config) throws IOException, InterruptedException {
    listener =
        ListeningSocket.open(
            new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class),
            new InetSocketAddress(config.host(), config.port()),
            "cannot listen on " + config.host() + ":" + config.port(),
            this::accept);
    int port = ((InetSocketAddress) listener.localAddress()).getPort();
    return (tls == null ? "http://" : "https://") + config.host() + ":" + port;
  }

  private void accept(Channel channel) {
    for (Channel caller : callers.inTheWay()) {
      // Its request may have come since the loop last looked.
      SocketPolling.readNow(caller);
      if (callers.waits(caller)) {
        callers.leaves(caller);
        caller.close();
        break;
      }
    }
    if (!callers.enter(channel)) {
      channel.close();
      return;
    }
    channel.closeFuture().addListener(closed -> callers.leaves(channel));
    if (tls != null) {
      channel.pipeline().addLast(tls.newHandler(channel.alloc()));
    }
    channel.pipeline().addLast(new HttpServerCodec(4096, 16384, 8192), new Exchange());
  }

  private static byte[] digest(String text) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Compares digests, so that the time it takes tells nothing of the token. */
  private boolean mayCall(HttpRequest request) {
    String header = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
    String token = header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
    return tokenDigest == null || MessageDigest.isEqual(tokenDigest, digest(token));
  }

  @Override
  public void close() {
    if (listener != null) {
      listener.close().syncUninterruptibly();
    }
  }

  /** One connection: request after request. */
  private final class Exchange extends SimpleChannelInboundHandler<HttpObject> {
    private final ByteBuf body = Unpooled.buffer();
    private HttpRequest request;
    private boolean dropping;
    private boolean streaming;
    private ScheduledFuture<?> limit;

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
      limit(ctx, REQUEST_MILLIS);
    }

    private void limit(ChannelHandlerContext ctx, long millis) {
      if (limit != null) {
        limit.cancel(false);
      }
      limit = millis == 0 ? null : loop.schedule(() -> ctx.close(), millis, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      if (dropping || streaming) {
        return;
      }
      if (message.decoderResult().isFailure()) {
        turnAway(ctx, new Refusal(400, "bad_request", "not HTTP/1.1 as it should be"));
        return;
      }
      if (message instanceof HttpRequest head) {
        request = head;
        body.clear();
        limit(ctx, REQUEST_MILLIS);
        Refusal foreign =
            names.refusal(
                head.headers().getAll(HttpHeaderNames.HOST),
                head.headers().getAll(HttpHeaderNames.ORIGIN),
                ((InetSocketAddress) ctx.channel().localAddress()).getAddress());
        if (foreign != null) {
          turnAway(ctx, foreign);
          return;
        }
        if (!mayCall(head)) {
          turnAway(
              ctx,
              new Refusal(
                  401,
                  "unauthorized",
                  "a token is needed, as the agent's token_file has it: 'Authorization: Bearer'"));
          return;
        }
        if (tokenDigest != null) {
          callers.trust(ctx.channel());
        }
        if (!callers.mayAskAll(ctx.channel()) && !ABOUT_LEASES.contains(head.uri())) {
          turnAway(
              ctx, new Refusal(503, "busy", "too many callers are connected: try again in 1 s"));
          return;
        }
        if (HttpUtil.getContentLength(head, 0L) > LONGEST_BODY) {
          tooLarge(ctx);
          return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
          ctx.writeAndFlush(
              new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
      }
      if (message instanceof HttpContent part) {
        body.writeBytes(part.content());
        if (body.readableBytes() > LONGEST_BODY) {
          tooLarge(ctx);
        } else if (message instanceof LastHttpContent) {
          limit(ctx, 0);
          callers.asks(ctx.channel());
          answer(ctx);
        }
      }
    }

    private void tooLarge(ChannelHandlerContext ctx) {
      turnAway(
          ctx, new Refusal(413, "too_large", "the body is longer than " + LONGEST_BODY + " bytes"));
    }

    /** Answers and drops the rest, which the caller may still be sending. */
    private void turnAway(ChannelHandlerContext ctx, Refusal refusal) {
      dropping = true;
      limit(ctx, LINGER_MILLIS);
      respond(ctx, refusal.status, refusal.problem, false);
    }

    private void answer(ChannelHandlerContext ctx) {
      boolean keep = HttpUtil.isKeepAlive(request);
      CompletableFuture<?> answer;
      QueryStringDecoder uri = new QueryStringDecoder(request.uri());
      try {
        if (uri.path().equals("/v1/events") && request.method().equals(HttpMethod.GET)) {
          stream(ctx, number(uri, "since", Long.MAX_VALUE));
          return;
        }
        answer = route(request.method(), uri);
      } catch (Refusal e) {
        answer = CompletableFuture.failedFuture(e);
      } catch (Json.BadJsonException e) {
        answer =
            CompletableFuture.failedFuture(
                new Refusal(400, "bad_request", "body: " + e.getMessage()));
      }
      answer.whenComplete(
          (value, failure) ->
              loop.execute(
                  () -> {
                    if (failure == null) {
                      respond(ctx, 200, value, keep);
                    } else {
                      refuse(ctx, failure, keep);
                    }
                    limit(ctx, IDLE_MILLIS);
                    callers.answered(ctx.channel());
                  }));
    }

    private void refuse(ChannelHandlerContext ctx, Throwable failure, boolean keep) {
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      if (cause instanceof Refusal refusal) {
        respond(ctx, refusal.status, refusal.problem, keep);
      } else {
        respond(ctx, 500, new Api.Problem("internal", String.valueOf(cause), List.of()), false);
      }
    }

    private void respond(ChannelHandlerContext ctx, int status, Object value, boolean keep) {
      ByteBuf text = ByteBufUtil.writeUtf8(ctx.alloc(), Json.text(value) + "\n");
      var response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), text);
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
      HttpUtil.setContentLength(response, text.readableBytes());
      HttpUtil.setKeepAlive(response, keep);
      if (status == 503) {
        response.headers().set(HttpHeaderNames.RETRY_AFTER, "1");
      }
      var written = ctx.writeAndFlush(response);
      if (dropping && tls == null && ctx.channel() instanceof DuplexChannel duplex) {
        // It sees the end at once, and can still read why.
        written.addListener(done -> duplex.shutdownOutput());
      } else if (!keep && !dropping) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    private CompletableFuture<?> route(HttpMethod method, QueryStringDecoder uri)
        throws Refusal, Json.BadJsonException {
      String[] path = uri.path().split("/", -1);
      if (path.length < 3 || !path[0].isEmpty() || !path[1].equals("v1")) {
        throw new Refusal(404, "not_found", "no such path; the API is under /v1/");
      }
      boolean get = method.equals(HttpMethod.GET);
      boolean post = method.equals(HttpMethod.POST);
      String what = path[2] + (path.length > 4 ? "/*/" + path[4] : path.length > 3 ? "/*" : "");
      if (path.length > 5) {
        what = "";
      }
      String id = path.length > 3 ? path[3] : "";
      if (get) {
        switch (what) {
          case "agent":
            return core.agent();
          case "variants/*":
            return core.variantCalls().view(id, number(uri, "text", 1) != 0);
          case "instances":
            return core.instances();
          case "instances/*":
            return core.instance(id);
          case "instances/*/status":
            return core.query(id);
          case "instances/*/log":
            return core.log(id, (int) Math.min(10_000, number(uri, "lines", 50)));
          case "operations":
            return core.operations((int) Math.min(1000, number(uri, "most", 20)));
          case "operations/*":
            return core.operation(id, number(uri, "wait_ms", 0), (int) number(uri, "seen", 0));
          default:
        }
      } else if (post) {
        if (!request
            .headers()
            .get(HttpHeaderNames.CONTENT_TYPE, "")
            .startsWith("application/json")) {
          // Also what a browser would not send from another site's page without asking.
          throw new Refusal(415, "bad_request", "Content-Type must be application/json");
        }
        FencingToken token = fencingToken();
        String text = body.toString(StandardCharsets.UTF_8);
        switch (what) {
          case "variants/*":
            return core.variantCalls().offer(id, Json.read(text, Api.VariantOffer.class), token);
          case "variants/*/pull":
            return core.variantCalls().pull(id, Json.read(text, Api.VariantPull.class));
          case "variants/*/split":
            return core.variantCalls().split(id, Json.read(text, Api.VariantFamily.class));
          case "variants/*/allow":
            return core.variantCalls().allow(id, Json.read(text, Api.VariantFamily.class));
          default:
        }
        switch (path.length == 4 ? path[2] + "/" + path[3] : what) {
          case "fence":
            return core.operationCalls().fence(token);
          case "leases":
            return core.operationCalls().lease(Json.read(text, Api.LeaseAsk.class), token);
          case "leases/renew":
            return core.operationCalls().renew(Json.read(text, Api.LeaseEnd.class), token);
          case "leases/release":
            return core.operationCalls().release(Json.read(text, Api.LeaseEnd.class), token);
          case "steps":
            return core.operationCalls().steps(Json.read(text, Api.StepsAsk.class), token);
          default:
        }
      }
      throw new Refusal(404, "not_found", "no " + method + " " + uri.path());
    }

    /** What the caller says that it acts under; null for nothing. */
    private FencingToken fencingToken() throws Refusal {
      String text = request.headers().get(Api.FENCING_HEADER);
      try {
        return text == null ? null : FencingToken.parse(text);
      } catch (IllegalArgumentException e) {
        throw new Refusal(400, "bad_request", Api.FENCING_HEADER + ": " + e.getMessage());
      }
    }

    private static long number(QueryStringDecoder uri, String name, long absent) throws Refusal {
      List<String> values = uri.parameters().get(name);
      if (values == null) {
        return absent;
      }
      try {
        long value = Long.parseLong(values.get(0));
        if (value >= 0) {
          return value;
        }
      } catch (NumberFormatException e) {
        // Told below.
      }
      throw new Refusal(400, "bad_request", name + "='" + values.get(0) + "' is no number");
    }

    /** Sends events as they happen, a line each, until the caller goes or falls behind. */
    private void stream(ChannelHandlerContext ctx, long since) {
      streaming = true;
      limit(ctx, 0);
      var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
      HttpUtil.setTransferEncodingChunked(head, true);
      ctx.writeAndFlush(head);
      Consumer<Api.Event> listener =
          event -> loop.execute(() -> line(ctx, Json.text(event) + "\n"));
      core.listen(since, listener)
          .whenComplete(
              (listening, failure) -> {
                if (failure != null || !listening) {
                  ctx.close();
                }
              });
      var heartbeat =
          loop.scheduleAtFixedRate(
              () -> line(ctx, "\n"), HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
      ctx.channel()
          .closeFuture()
          .addListener(
              closed -> {
                heartbeat.cancel(false);
                core.leave(listener);
              });
    }

    private void line(ChannelHandlerContext ctx, String text) {
      if (!ctx.channel().isWritable()) {
        ctx.close();
      } else {
        ctx.writeAndFlush(new DefaultHttpContent(ByteBufUtil.writeUtf8(ctx.alloc(), text)));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      limit(ctx, 0);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
