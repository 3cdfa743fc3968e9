package beamspread.node;

import beamspread.loop.AcceptGate;
import beamspread.loop.GatedServerSocketChannel;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.StandardSocketOptions;

/** The kind of sockets that a node uses. */
enum Transport {
  /** TCP, for serving. */
  TCP {
    @Override
    Bootstrap client() {
      return new Bootstrap()
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true);
    }

    @Override
    ServerBootstrap server() {
      return withOptions(new ServerBootstrap().channel(NioServerSocketChannel.class));
    }

    @Override
    ServerBootstrap clientListener(AcceptGate gate) {
      return withOptions(
          new ServerBootstrap().channelFactory(() -> new GatedServerSocketChannel(gate)));
    }

    private ServerBootstrap withOptions(ServerBootstrap bootstrap) {
      return bootstrap
          .option(ChannelOption.SO_BACKLOG, 1024)
          .childOption(ChannelOption.TCP_NODELAY, true);
    }
  },

  /** Unix domain sockets, for the rehearsal: nothing else can reach them. */
  DOMAIN {
    @Override
    Bootstrap client() {
      return new Bootstrap().channel(NioDomainSocketChannel.class);
    }

    @Override
    ServerBootstrap server() {
      return new ServerBootstrap().channel(NioServerDomainSocketChannel.class);
    }

    @Override
    ServerBootstrap clientListener(AcceptGate gate) {
      return server();
    }

    @Override
    ServerBootstrap sharedClientListener(AcceptGate gate) {
      return server();
    }
  };

  abstract Bootstrap client();

  abstract ServerBootstrap server();

  /** Returns a bootstrap for the socket that clients connect to, which accepts by this gate. */
  abstract ServerBootstrap clientListener(AcceptGate gate);

  /** The same for an address that a second process of the same user may also listen on. */
  ServerBootstrap sharedClientListener(AcceptGate gate) {
    return clientListener(gate)
        .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), Boolean.TRUE);
  }
}
