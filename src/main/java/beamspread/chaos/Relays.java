package beamspread.chaos;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The relays between all processes of a run. Each process is told the relays' addresses in place of
 * the others' own, so that all it sends goes through a link that a fault can befall. One thread
 * owns the network's state and all sockets.
 */
public final class Relays implements AutoCloseable {
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Network network = new Network();
  private final long seed;
  private final Map<Network.Link, LinkPlan> plans = new HashMap<>();
  private final List<TcpRelay> streams = new ArrayList<>();
  private final List<UdpRelay> datagrams = new ArrayList<>();

  /** Relays whose decisions are drawn from this seed. */
  public Relays(long seed) {
    this.seed = seed;
  }

  /**
   * A relay for the connections that one opens to the other.
   *
   * @param target where the other listens, asked at each connection; null while nowhere
   * @return where the one is to connect
   */
  public InetSocketAddress stream(String from, String to, Supplier<InetSocketAddress> target)
      throws IOException, InterruptedException {
    LinkPlan[] both = both(from, to);
    TcpRelay relay = new TcpRelay(loop, from, to, both[0], both[1], target);
    own(() -> streams.add(relay));
    return relay.address();
  }

  /** A relay for datagrams between two, both of which are told an address of its. */
  public UdpRelay datagrams(
      String one, InetSocketAddress oneAt, String other, InetSocketAddress otherAt)
      throws IOException, InterruptedException {
    LinkPlan[] both = both(one, other);
    UdpRelay relay = new UdpRelay(loop, oneAt, otherAt, both[0], both[1]);
    own(() -> datagrams.add(relay));
    return relay;
  }

  /** The plans of both directions: one for each, however many relays there are between the two. */
  private LinkPlan[] both(String from, String to) {
    LinkPlan[] both = new LinkPlan[2];
    own(
        () -> {
          both[0] = plan(from, to);
          both[1] = plan(to, from);
        });
    return both;
  }

  private LinkPlan plan(String from, String to) {
    return plans.computeIfAbsent(
        new Network.Link(from, to),
        link -> {
          LinkPlan plan =
              new LinkPlan(seed ^ (31L * from.hashCode() + to.hashCode()) * 0x9E3779B9L);
          plan.become(network.state(from, to));
          return plan;
        });
  }

  /** A fault begins; returns once it holds. */
  public void begin(Fault fault) {
    own(
        () -> {
          network.begin(fault);
          if (fault.kind() == Fault.Kind.RESET) {
            streams.stream().filter(one -> one.isBefallen(fault)).forEach(TcpRelay::reset);
          }
          refresh();
        });
  }

  /** A fault is over; returns once it is. */
  public void end(Fault fault) {
    own(
        () -> {
          network.end(fault);
          refresh();
        });
  }

  private void refresh() {
    plans.forEach((link, plan) -> plan.become(network.state(link.from(), link.to())));
    streams.forEach(TcpRelay::goOn);
  }

  /** Done on the thread that owns all; returns once it is done. */
  private void own(Runnable task) {
    loop.submit(task).syncUninterruptibly();
  }

  /** Ends all connections and closes all sockets. */
  @Override
  public void close() {
    own(
        () -> {
          streams.forEach(TcpRelay::close);
          datagrams.forEach(UdpRelay::close);
        });
    group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
