package beamspread.loop;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.function.Consumer;

/** Opens listening sockets. */
public final class ListeningSocket {
  private ListeningSocket() {}

  /**
   * Opens a listening socket and waits until it is bound.
   *
   * @param bootstrap bootstrap with its group and channel type
   * @param failureMessage start of the error message, before the cause
   * @param onConnection receives each new connection before anything is read from it
   * @throws IOException if the address can't be bound
   */
  public static Channel open(
      ServerBootstrap bootstrap,
      SocketAddress address,
      String failureMessage,
      Consumer<Channel> onConnection)
      throws IOException, InterruptedException {
    var binding =
        bootstrap
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    onConnection.accept(channel);
                  }
                })
            .bind(address)
            .await();
    if (!binding.isSuccess()) {
      throw new IOException(failureMessage + ": " + binding.cause().getMessage());
    }
    return binding.channel();
  }
}
