package beamspread.loop;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.function.Consumer;

/** Opens listening sockets. */
public final class Listener {
  private Listener() {}

  /**
   * Listens; waits until it does.
   *
   * @param sockets with its group and the kind of its channels
   * @param what how the failure is told, before its cause
   * @param accept is given each new connection, before anything is read there
   * @throws IOException if the address can't be listened on
   */
  public static Channel open(
      ServerBootstrap sockets, SocketAddress address, String what, Consumer<Channel> accept)
      throws IOException, InterruptedException {
    var bound =
        sockets
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept.accept(channel);
                  }
                })
            .bind(address)
            .await();
    if (!bound.isSuccess()) {
      throw new IOException(what + ": " + bound.cause().getMessage());
    }
    return bound.channel();
  }
}
