package beamspread.node.variants;

import beamspread.node.wire.Json;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import beamspread.variants.HeldTable;
import beamspread.variants.VariantException;
import beamspread.variants.VariantKeys;
import beamspread.variants.VariantSettings;
import beamspread.variants.VariantTable;
import beamspread.variants.VariantVersion;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Periodically requests the table from the agent, and sends it the families that are split here.
 * The validity of a table counts from the request, so that a delayed answer is not valid for
 * longer.
 */
public final class TablePuller {
  /** Maximum size of an answer: a table as a JSON string, in which line ends take two bytes. */
  private static final int MAX_ANSWER_BYTES = 2 * VariantTable.MAX_BYTES;

  /** The clocks of two machines may drift apart by one part in this many. */
  private static final int CLOCK_DRIFT_DIVISOR = 100;

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final VariantConfig config;
  private final VariantSettings settings;
  private final String node;
  private final VariantKeys keys;
  private final Consumer<String> log;
  private String lastProblem;

  /**
   * Creates a puller; {@link #start} starts it.
   *
   * @param node the name by which the agent knows this node
   * @param log receives a line for each new table and each new problem
   */
  public TablePuller(
      EventLoop loop,
      Bootstrap bootstrap,
      VariantConfig config,
      String node,
      VariantKeys keys,
      Consumer<String> log) {
    this.loop = loop;
    this.bootstrap = bootstrap;
    this.config = config;
    this.settings = config.file().settings();
    this.node = node;
    this.keys = keys;
    this.log = log;
  }

  /** Starts the periodic requests. */
  public void start() {
    loop.scheduleWithFixedDelay(this::pull, 0, settings.pullIntervalNanos(), TimeUnit.NANOSECONDS);
  }

  private void pull() {
    AnswerHandler answer = new AnswerHandler(System.nanoTime());
    ChannelFuture connectFuture =
        bootstrap
            .clone()
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) (settings.pullIntervalNanos() / 1_000_000))
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(),
                            new HttpObjectAggregator(MAX_ANSWER_BYTES),
                            answer);
                  }
                })
            .connect(config.agentAddress());
    connectFuture.addListener(
        done -> {
          if (done.isSuccess()) {
            sendRequest(connectFuture.channel());
          } else {
            loop.execute(() -> reportProblem("cannot connect to the agent"));
          }
        });
  }

  private void sendRequest(Channel channel) {
    VariantVersion knownVersion = keys.held().highestVersion();
    Set<String> splitFamilies = keys.split(System.nanoTime());
    String body =
        Json.object(
            json -> {
              json.writeStringField("node", node);
              json.writeNumberField("token", knownVersion.token());
              json.writeNumberField("number", knownVersion.number());
              json.writeArrayFieldStart("split");
              for (String family : splitFamilies) {
                json.writeString(family);
              }
              json.writeEndArray();
            });
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/v1/variants/" + settings.fleet() + "/pull",
            Unpooled.wrappedBuffer(bytes));
    var headers = request.headers();
    headers.set(HttpHeaderNames.HOST, hostHeader());
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    headers.set(HttpHeaderNames.CONNECTION, "close");
    if (config.token() != null) {
      headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + config.token());
    }
    channel.writeAndFlush(request);
    // A later answer is of no use, since the next request has been sent by then.
    loop.schedule(() -> channel.close(), settings.pullIntervalNanos(), TimeUnit.NANOSECONDS);
  }

  private String hostHeader() {
    return config.agentAddress() instanceof InetSocketAddress inet
        ? inet.getAddress().getHostAddress() + ":" + inet.getPort()
        : "localhost";
  }

  private void reportProblem(String problem) {
    if (!problem.equals(lastProblem)) {
      lastProblem = problem;
      log.accept("variant keys: " + problem);
    }
  }

  /** Handles the answer to one request. */
  private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final long requestedNanos;

    AnswerHandler(long requestedNanos) {
      this.requestedNanos = requestedNanos;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      ctx.close();
      String text = response.content().toString(StandardCharsets.UTF_8);
      if (!response.status().equals(HttpResponseStatus.OK)) {
        reportProblem("the agent answered with status " + response.status().code());
        return;
      }
      try {
        apply(Message.parse(text));
      } catch (WireException | VariantException e) {
        reportProblem("rejected a table: " + e.getMessage());
      }
    }

    private void apply(Message message) throws WireException, VariantException {
      long validNanos = (long) (message.requiredNumber("valid_ms") * 1e6);
      long validUntilNanos = requestedNanos + validNanos - validNanos / CLOCK_DRIFT_DIVISOR;
      long now = System.nanoTime();
      HeldTable.OfferResult result;
      if (message.has("text")) {
        VariantTable table =
            VariantTable.parse(message.requiredText("text"), message.requiredText("digest"));
        result = keys.offer(now, table, validUntilNanos);
      } else {
        VariantVersion version =
            new VariantVersion(
                (long) message.requiredNumber("token"), (long) message.requiredNumber("number"));
        result = keys.renew(now, version, validUntilNanos);
      }
      if (result == HeldTable.OfferResult.NEW) {
        lastProblem = null;
        log.accept("variant keys: table " + keys.held().highestVersion() + " is in force");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      reportProblem("the call to the agent failed: " + cause.getMessage());
      ctx.close();
    }
  }
}
