package beamspread.chaos;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Datagrams between two processes. Each has a door that stands for the other: what comes to it goes
 * on from the door that stands for the sender, so that both see the address that they know.
 */
public final class UdpRelay {
  /** Datagrams under way in one direction at most; more are lost, as at a full router. */
  private static final int MOST_HELD = 4096;

  private final EventLoop loop;
  private final Channel otherAsOneSees;
  private final Channel oneAsOtherSees;

  UdpRelay(
      EventLoop loop, InetSocketAddress one, InetSocketAddress other, LinkPlan there, LinkPlan back)
      throws IOException, InterruptedException {
    this.loop = loop;
    Door first = new Door(one, other, there);
    Door second = new Door(other, one, back);
    otherAsOneSees = open(first);
    oneAsOtherSees = open(second);
    first.out = oneAsOtherSees;
    second.out = otherAsOneSees;
  }

  private Channel open(Door door) throws IOException, InterruptedException {
    var bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(door)
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .await();
    if (!bound.isSuccess()) {
      throw new IOException("cannot open a relay: " + bound.cause().getMessage());
    }
    return bound.channel();
  }

  /** Where the one sends what is for the other, and what comes from the other comes from. */
  public InetSocketAddress otherAsOneSees() {
    return (InetSocketAddress) otherAsOneSees.localAddress();
  }

  /** The same for the other. */
  public InetSocketAddress oneAsOtherSees() {
    return (InetSocketAddress) oneAsOtherSees.localAddress();
  }

  void close() {
    otherAsOneSees.close();
    oneAsOtherSees.close();
  }

  private final class Door extends SimpleChannelInboundHandler<DatagramPacket> {
    private final InetSocketAddress sender;
    private final InetSocketAddress receiver;
    private final LinkPlan plan;
    private volatile Channel out;
    private int held;

    Door(InetSocketAddress sender, InetSocketAddress receiver, LinkPlan plan) {
      this.sender = sender;
      this.receiver = receiver;
      this.plan = plan;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      if (!packet.sender().equals(sender) || out == null) {
        // From neither of the two: it goes nowhere.
        return;
      }
      long now = System.nanoTime();
      for (LinkPlan.Arrival one : plan.datagram(now, packet.content().readableBytes())) {
        ByteBuf bytes = packet.content().copy(packet.content().readerIndex(), one.length());
        if (one.atNanos() <= now) {
          out.writeAndFlush(new DatagramPacket(bytes, receiver));
        } else if (held < MOST_HELD) {
          held++;
          loop.schedule(
              () -> {
                held--;
                out.writeAndFlush(new DatagramPacket(bytes, receiver));
              },
              one.atNanos() - now,
              TimeUnit.NANOSECONDS);
        } else {
          bytes.release();
        }
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Nobody listens at the receiver's port: a datagram more that is lost.
    }
  }
}
