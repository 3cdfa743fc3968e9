package beamspread.node.mgmt;

import beamspread.node.mgmt.MgmtCalls.Answer;
import beamspread.sim.Message;
import beamspread.sim.WireException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** Handles the one management call of a connection. */
final class MgmtHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final String DETACH = "/_cache-servers/detach";
  private static final String ATTACH = "/_cache-servers/attach";

  private final MgmtCalls calls;
  private final byte[] token;
  private boolean answered;

  /**
   * Creates the handler of one connection.
   *
   * @param token the bearer token that calls which change something must have; null for none
   */
  MgmtHandler(MgmtCalls calls, byte[] token) {
    this.calls = calls;
    this.token = token;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
    if (answered) {
      return;
    }
    if (call.decoderResult().isFailure()) {
      answer(ctx, Answer.error(HttpResponseStatus.BAD_REQUEST, "not a call by HTTP/1.1"));
      return;
    }
    String path = call.uri();
    int query = path.indexOf('?');
    path = query < 0 ? path : path.substring(0, query);
    answer(
        ctx,
        switch (path) {
          case "/_ready" -> get(call, this::ready);
          case "/_vars" -> get(call, () -> new Answer(HttpResponseStatus.OK, calls.metrics()));
          case DETACH, ATTACH -> changeServer(call, path.equals(DETACH));
          default -> Answer.error(HttpResponseStatus.NOT_FOUND, "no such call: " + path);
        });
  }

  private static Answer get(FullHttpRequest call, java.util.function.Supplier<Answer> answer) {
    return call.method().equals(HttpMethod.GET)
        ? answer.get()
        : Answer.error(HttpResponseStatus.METHOD_NOT_ALLOWED, "this is asked by GET");
  }

  private Answer ready() {
    return calls.ready()
        ? new Answer(HttpResponseStatus.OK, "{\"ready\":true}")
        : Answer.error(HttpResponseStatus.SERVICE_UNAVAILABLE, "takes no clients");
  }

  private Answer changeServer(FullHttpRequest call, boolean detach) {
    if (!call.method().equals(HttpMethod.POST)) {
      return Answer.error(HttpResponseStatus.METHOD_NOT_ALLOWED, "this is asked by POST");
    }
    if (!isAuthorized(call)) {
      return Answer.error(HttpResponseStatus.UNAUTHORIZED, "needs the token of mgmt_token_file");
    }
    String id;
    try {
      id = Message.parse(call.content().toString(StandardCharsets.UTF_8)).text("member", null);
    } catch (WireException e) {
      return Answer.error(HttpResponseStatus.BAD_REQUEST, "the body is " + e.getMessage());
    }
    if (id == null || id.isEmpty()) {
      return Answer.error(HttpResponseStatus.BAD_REQUEST, "the body has no 'member'");
    }
    return detach ? calls.detach(id) : calls.attach(id);
  }

  private boolean isAuthorized(FullHttpRequest call) {
    if (token == null) {
      return true;
    }
    String given = call.headers().get(HttpHeaderNames.AUTHORIZATION, "");
    return given.startsWith("Bearer ")
        && MessageDigest.isEqual(
            given.substring(7).strip().getBytes(StandardCharsets.UTF_8), token);
  }

  private void answer(ChannelHandlerContext ctx, Answer answer) {
    answered = true;
    ByteBuf body = ByteBufUtil.writeUtf8(ctx.alloc(), answer.json() + "\n");
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status(), body);
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof TooLongFrameException && !answered) {
      answer(ctx, Answer.error(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, cause.getMessage()));
    } else {
      ctx.close();
    }
  }
}
