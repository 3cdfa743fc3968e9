package beamspread.node;

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
      return new ServerBootstrap()
          .channel(NioServerSocketChannel.class)
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
    ServerBootstrap sharedServer() {
      return server();
    }
  };

  abstract Bootstrap client();

  abstract ServerBootstrap server();

  /** Returns a bootstrap whose address a second process of the same user may also listen on. */
  ServerBootstrap sharedServer() {
    return server().option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), Boolean.TRUE);
  }
}
