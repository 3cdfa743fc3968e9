package beamspread.chaos;

import beamspread.loop.ListeningSocket;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The connections that one process opens to another. Bytes and ends go on when the link lets them,
 * in order; what a cut holds back goes on after it, as a system's TCP would send it again. A
 * connection that is opened during a cut comes up for the opener, since the system takes it for
 * this relay, but nothing answers on it, and nothing of it reaches the other side before the cut is
 * over; one that its opener gives up by then never does.
 */
final class TcpRelay {
  /** Bytes held in one direction of a connection before no more is read. */
  private static final int MOST_HELD = 128 << 10;

  private static final int MOST_CONNECTIONS = 1024;

  private final EventLoop loop;
  private final String from;
  private final String to;
  private final LinkPlan there;
  private final LinkPlan back;
  private final Supplier<InetSocketAddress> target;
  private final Channel listener;
  private final Set<Connection> open = new LinkedHashSet<>();

  TcpRelay(
      EventLoop loop,
      String from,
      String to,
      LinkPlan there,
      LinkPlan back,
      Supplier<InetSocketAddress> target)
      throws IOException, InterruptedException {
    this.loop = loop;
    this.from = from;
    this.to = to;
    this.there = there;
    this.back = back;
    this.target = target;
    listener =
        ListeningSocket.open(
            new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            "cannot open a relay",
            this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  boolean isBefallen(Fault fault) {
    return fault.befalls(from, to) || fault.befalls(to, from);
  }

  /** Resets all connections. */
  void reset() {
    List.copyOf(open).forEach(Connection::reset);
  }

  /** The links have changed: what was held back may go on. */
  void goOn() {
    List.copyOf(open).forEach(Connection::goOn);
  }

  void close() {
    listener.close();
    List.copyOf(open).forEach(Connection::reset);
  }

  private void accept(Channel channel) {
    if (open.size() >= MOST_CONNECTIONS) {
      channel.close();
      return;
    }
    Connection connection = new Connection((SocketChannel) channel);
    open.add(connection);
    channel.pipeline().addLast(connection.outward);
    connection.goOn();
  }

  /** A connection of the opener's, and the one that it stands for. */
  private final class Connection {
    private final SocketChannel opener;
    private SocketChannel other;
    private boolean connecting;
    private boolean over;
    private final Way outward = new Way(there);
    private final Way inward = new Way(back);

    Connection(SocketChannel opener) {
      this.opener = opener;
      outward.in = opener;
      inward.out = opener;
    }

    /** Connects once both directions let it, and passes on what is due. */
    void goOn() {
      if (over) {
        return;
      }
      if (!connecting && !there.state().cut() && !back.state().cut()) {
        connect();
      }
      outward.pass();
      inward.pass();
    }

    private void connect() {
      InetSocketAddress at = target.get();
      if (at == null) {
        reset();
        return;
      }
      connecting = true;
      ChannelFuture connected =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(inward)
              .connect(at);
      connected.addListener(
          up -> {
            if (!up.isSuccess() || over) {
              connected.channel().close();
              reset();
              return;
            }
            other = (SocketChannel) connected.channel();
            inward.in = other;
            outward.out = other;
            outward.pass();
          });
    }

    void reset() {
      if (over) {
        return;
      }
      over = true;
      open.remove(this);
      outward.drop();
      inward.drop();
      end(opener);
      if (other != null) {
        end(other);
      }
    }

    private void end(SocketChannel channel) {
      if (channel.isOpen()) {
        channel.config().setSoLinger(0);
        channel.close();
      }
    }

    /** Both directions have come to their end. */
    private void endIfDone() {
      if (outward.done && inward.done && !over) {
        over = true;
        open.remove(this);
        opener.close();
        other.close();
      }
    }

    /** One direction: read from one socket, held, written to the other. */
    private final class Way extends ChannelInboundHandlerAdapter {
      private final LinkPlan plan;
      private final ArrayDeque<Piece> held = new ArrayDeque<>();
      private SocketChannel in;
      private SocketChannel out;
      private int bytes;
      private boolean ended;
      private boolean done;
      private ScheduledFuture<?> next;

      Way(LinkPlan plan) {
        this.plan = plan;
      }

      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf piece = (ByteBuf) message;
        if (over) {
          piece.release();
          return;
        }
        add(ctx, new Piece(piece, false));
      }

      @Override
      public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !ended && !over) {
          if (!connecting) {
            // Who closes during a cut has given up; that it only ends its sending is not known
            // here.
            Connection.this.reset();
            return;
          }
          ended = true;
          add(ctx, new Piece(null, false));
        }
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken(ctx);
      }

      @Override
      public void channelInactive(ChannelHandlerContext ctx) {
        if (!done || !ended) {
          broken(ctx);
        }
      }

      /** A reset goes over the link as well, behind what was sent before it. */
      private void broken(ChannelHandlerContext ctx) {
        if (over) {
          return;
        }
        if (out == null) {
          // Given up by its opener before it ever came up: the other side never hears of it.
          Connection.this.reset();
        } else if (held.isEmpty() || !held.peekLast().reset) {
          ended = true;
          add(ctx, new Piece(null, true));
        }
      }

      private void add(ChannelHandlerContext ctx, Piece piece) {
        held.add(piece);
        bytes += piece.size();
        ctx.channel().config().setAutoRead(bytes < MOST_HELD);
        pass();
      }

      @Override
      public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        // This channel takes what the other direction writes.
        (this == outward ? inward : outward).pass();
      }

      /** Writes all that is due; comes back when more will be. */
      private void pass() {
        if (over || out == null) {
          return;
        }
        long now = System.nanoTime();
        for (Piece piece = held.peek(); piece != null && !over; piece = held.peek()) {
          if (piece.dueAt == LinkPlan.NEVER) {
            piece.dueAt = plan.stream(now, piece.size());
          }
          // A cut holds back also what was on its way: TCP would send it again.
          if (piece.dueAt == LinkPlan.NEVER || plan.state().cut()) {
            piece.dueAt = LinkPlan.NEVER;
            return;
          }
          if (piece.dueAt > now) {
            if (next == null || next.isDone()) {
              next = loop.schedule(this::pass, piece.dueAt - now, TimeUnit.NANOSECONDS);
            }
            return;
          }
          if (piece.bytes != null && !out.isWritable()) {
            return;
          }
          held.poll();
          bytes -= piece.size();
          if (in.isOpen()) {
            in.config().setAutoRead(bytes < MOST_HELD);
          }
          write(piece);
        }
      }

      private void write(Piece piece) {
        if (piece.reset) {
          Connection.this.reset();
        } else if (piece.bytes == null) {
          done = true;
          ((DuplexChannel) out).shutdownOutput();
          endIfDone();
        } else {
          out.writeAndFlush(piece.bytes);
        }
      }

      private void drop() {
        held.forEach(Piece::release);
        held.clear();
      }
    }
  }

  /** Some bytes; none for the end of a direction. */
  private static final class Piece {
    private final ByteBuf bytes;
    private final boolean reset;
    private long dueAt = LinkPlan.NEVER;

    Piece(ByteBuf bytes, boolean reset) {
      this.bytes = bytes;
      this.reset = reset;
    }

    int size() {
      return bytes == null ? 0 : bytes.readableBytes();
    }

    void release() {
      if (bytes != null) {
        bytes.release();
      }
    }
  }
}
