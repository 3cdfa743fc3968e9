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
 * Asks the agent for the table again and again, and tells it what is left alone here. The table's
 * time counts from when it was asked for, so that an answer which comes late holds for no longer.
 */
public final class TablePull {
  /** Room for a table as a JSON text, whose line ends take two bytes. */
  private static final int LONGEST_ANSWER = 2 * VariantTable.MAX_BYTES;

  /** Clocks of two machines may run apart by this part. */
  private static final int CLOCK_PART = 100;

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final VariantPart part;
  private final VariantSettings settings;
  private final String node;
  private final VariantKeys keys;
  private final Consumer<String> log;
  private String trouble;

  /**
   * A puller.
   *
   * @param node by whose name the agent knows it
   * @param log is told of new tables, and of each trouble once
   */
  public TablePull(
      EventLoop loop,
      Bootstrap bootstrap,
      VariantPart part,
      String node,
      VariantKeys keys,
      Consumer<String> log) {
    this.loop = loop;
    this.bootstrap = bootstrap;
    this.part = part;
    this.settings = part.file().settings();
    this.node = node;
    this.keys = keys;
    this.log = log;
  }

  /** Begins to ask. */
  public void start() {
    loop.scheduleWithFixedDelay(this::pull, 0, settings.pullIntervalNanos(), TimeUnit.NANOSECONDS);
  }

  private void pull() {
    Answer answer = new Answer(System.nanoTime());
    ChannelFuture connecting =
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
                            new HttpObjectAggregator(LONGEST_ANSWER),
                            answer);
                  }
                })
            .connect(part.agent());
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            ask(connecting.channel());
          } else {
            loop.execute(() -> troubled("the agent cannot be reached"));
          }
        });
  }

  private void ask(Channel channel) {
    VariantVersion known = keys.held().highestVersion();
    Set<String> split = keys.split(System.nanoTime());
    String body =
        Json.object(
            json -> {
              json.writeStringField("node", node);
              json.writeNumberField("token", known.token());
              json.writeNumberField("number", known.number());
              json.writeArrayFieldStart("split");
              for (String family : split) {
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
    headers.set(HttpHeaderNames.HOST, host());
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    headers.set(HttpHeaderNames.CONNECTION, "close");
    if (part.token() != null) {
      headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + part.token());
    }
    channel.writeAndFlush(request);
    // An answer that takes longer is of no use: the next call is on its way.
    loop.schedule(() -> channel.close(), settings.pullIntervalNanos(), TimeUnit.NANOSECONDS);
  }

  private String host() {
    return part.agent() instanceof InetSocketAddress inet
        ? inet.getAddress().getHostAddress() + ":" + inet.getPort()
        : "localhost";
  }

  private void troubled(String what) {
    if (!what.equals(trouble)) {
      trouble = what;
      log.accept("variant keys: " + what);
    }
  }

  private final class Answer extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final long askedAt;

    Answer(long askedAt) {
      this.askedAt = askedAt;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      ctx.close();
      String text = response.content().toString(StandardCharsets.UTF_8);
      if (!response.status().equals(HttpResponseStatus.OK)) {
        troubled("the agent answers " + response.status().code());
        return;
      }
      try {
        take(Message.parse(text));
      } catch (WireException | VariantException e) {
        troubled("a table is refused: " + e.getMessage());
      }
    }

    private void take(Message told) throws WireException, VariantException {
      long valid = (long) (told.requiredNumber("valid_ms") * 1e6);
      long holdsUntil = askedAt + valid - valid / CLOCK_PART;
      long now = System.nanoTime();
      HeldTable.OfferResult taken;
      if (told.has("text")) {
        VariantTable table =
            VariantTable.parse(told.requiredText("text"), told.requiredText("digest"));
        taken = keys.offer(now, table, holdsUntil);
      } else {
        VariantVersion version =
            new VariantVersion(
                (long) told.requiredNumber("token"), (long) told.requiredNumber("number"));
        taken = keys.renew(now, version, holdsUntil);
      }
      if (taken == HeldTable.OfferResult.NEW) {
        trouble = null;
        log.accept("variant keys: table " + keys.held().highestVersion() + " is in force");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      troubled("the agent: " + cause.getMessage());
      ctx.close();
    }
  }
}
