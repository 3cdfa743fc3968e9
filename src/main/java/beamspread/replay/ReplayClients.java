package beamspread.replay;

import beamspread.lab.Answer;
import beamspread.lab.Demand;
import beamspread.lab.Fleet;
import beamspread.lab.Streams;
import beamspread.lab.Tally;
import beamspread.model.Settings;
import beamspread.standin.MetaReplies;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The model's clients on sockets: open loop, a request is sent when it is due whether or not others
 * have come back, its time counts from when it was due, and it is tried again by the model's rules.
 * A connection carries one request at a time, so that no client waits behind another.
 */
final class ReplayClients {
  private static final int MOST_CONNECTIONS = 2_000;

  /** Those that the front sends to; an address is another once its node has started anew. */
  private static final class Target {
    InetSocketAddress address;
    final ArrayDeque<Connection> idle = new ArrayDeque<>();
  }

  private static final class Asked {
    final Demand.Ask ask;
    final Settings.ServiceClass service;
    final long since;
    int tries;

    Asked(Demand.Ask ask, Settings.ServiceClass service, long since) {
      this.ask = ask;
      this.service = service;
      this.since = since;
    }
  }

  /** One request to one node. */
  private static final class Try {
    final Asked asked;
    final String command;
    Connection connection;
    boolean over;

    Try(Asked asked, String command) {
      this.asked = asked;
      this.command = command;
    }
  }

  private final EventLoop loop;
  private final Fleet fleet;
  private final Demand demand;
  private final Tally tally;
  private final UniformRandomProvider front;
  private final List<Target> targets = new ArrayList<>();
  private final long warm;
  private final long end;
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private long began;
  private long requests;
  private int open;
  private int connections;
  private boolean asksMore = true;

  /** Clients whose requests count from {@code warm} to {@code end}, in nanoseconds of the run. */
  ReplayClients(
      EventLoop loop, Fleet fleet, Demand demand, Tally tally, long seed, long warm, long end) {
    this.loop = loop;
    this.fleet = fleet;
    this.demand = demand;
    this.tally = tally;
    this.front = new Streams(seed).of("front");
    this.warm = warm;
    this.end = end;
    for (int i = 0; i < fleet.nodes(); i++) {
      targets.add(new Target());
    }
  }

  /** The front reaches a node here from now on. On the loop, as all here. */
  void node(int number, InetSocketAddress address) {
    Target target = targets.get(number);
    target.address = address;
    closeIdle(target);
  }

  private static void closeIdle(Target target) {
    // Each leaves the queue as it closes.
    for (Connection one = target.idle.poll(); one != null; one = target.idle.poll()) {
      one.channel.close();
    }
  }

  /** Begins; the moment counts as the run's zero. Done once each request has its end. */
  CompletableFuture<Void> run() {
    began = System.nanoTime();
    next();
    return done;
  }

  private long now() {
    return System.nanoTime() - began;
  }

  private void next() {
    for (Demand.Ask ask = demand.next(); ask != null && ask.at() < end; ask = demand.next()) {
      Demand.Ask due = ask;
      if (due.at() > now()) {
        loop.schedule(
            () -> {
              begin(due);
              next();
            },
            due.at() - now(),
            TimeUnit.NANOSECONDS);
        return;
      }
      begin(due);
    }
    asksMore = false;
    settle();
  }

  private void settle() {
    if (!asksMore && open == 0) {
      targets.forEach(ReplayClients::closeIdle);
      done.complete(null);
    }
  }

  private void begin(Demand.Ask ask) {
    open++;
    attempt(new Asked(ask, fleet.load().service(ask.write()), ask.at()));
  }

  private void attempt(Asked asked) {
    Target target = targets.get(front.nextInt(targets.size()));
    long left = asked.since + (long) (asked.service.deadline() * 1e9) - now();
    asked.tries++;
    String id = Long.toHexString(++requests);
    String parameters =
        "Pc="
            + asked.service.name()
            + ",d="
            + Math.max(1, left / 1_000_000)
            + (asked.tries > 1 ? ",r=1" : "");
    String command =
        asked.ask.write()
            ? "ms k" + asked.ask.key() + " 5 O" + id + " " + parameters + "\r\nworld\r\n"
            : "mg k" + asked.ask.key() + " v O" + id + " " + parameters + "\r\n";
    Try one = new Try(asked, command);
    loop.schedule(() -> overdue(one), left + Fleet.Load.GRACE_NANOS, TimeUnit.NANOSECONDS);
    Connection idle = target.idle.pollLast();
    if (idle != null) {
      idle.send(one);
    } else if (connections >= MOST_CONNECTIONS) {
      comes(one, Answer.REFUSED, 0);
    } else {
      connect(target, one);
    }
  }

  private void connect(Target target, Try one) {
    connections++;
    Connection connection = new Connection(target, target.address);
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
        .handler(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(connection);
              }
            })
        .connect(connection.address)
        .addListener(
            (io.netty.channel.ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                connection.channel = connected.channel();
                connection.channel.closeFuture().addListener(closed -> connections--);
                connection.send(one);
              } else {
                connections--;
                // Nobody listens: it has not been carried out.
                comes(one, Answer.REFUSED, 0);
              }
            });
  }

  private void overdue(Try one) {
    if (!one.over) {
      tally.lost(one.asked.service.name() + " of k" + one.asked.ask.key());
      one.over = true;
      if (one.connection != null) {
        one.connection.channel.close();
      }
      end(one.asked, Answer.FAILED);
    }
  }

  private void comes(Try one, Answer answer, long retryAfterMillis) {
    if (one.over) {
      return;
    }
    one.over = true;
    Asked asked = one.asked;
    long left = asked.since + (long) (asked.service.deadline() * 1e9) - now();
    long pause =
        fleet.load().again(asked.service, answer, asked.tries, left, retryAfterMillis * 1_000_000);
    if (pause >= 0) {
      loop.schedule(() -> attempt(asked), pause, TimeUnit.NANOSECONDS);
    } else {
      end(asked, answer);
    }
  }

  private void end(Asked asked, Answer answer) {
    if (asked.since >= warm) {
      tally.ended(asked.service, answer, now() - asked.since);
    }
    open--;
    settle();
  }

  private final class Connection extends MetaReplies {
    private final Target target;
    private final InetSocketAddress address;
    private Channel channel;
    private Try current;

    Connection(Target target, InetSocketAddress address) {
      this.target = target;
      this.address = address;
    }

    void send(Try one) {
      if (one.over) {
        idle();
        return;
      }
      current = one;
      one.connection = this;
      channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), one.command));
    }

    private void idle() {
      if (address.equals(target.address) && channel.isActive()) {
        target.idle.add(this);
      } else {
        channel.close();
      }
    }

    @Override
    protected void reply(ChannelHandlerContext ctx, String[] words) {
      Try one = current;
      current = null;
      if (one == null) {
        ctx.close();
        return;
      }
      idle();
      if (serves(words)) {
        comes(one, Answer.SERVED, 0);
      } else if (turnsAway(words)) {
        comes(one, Answer.REFUSED, words.length > 2 ? Long.parseLong(words[2]) : 0);
      } else {
        comes(one, Answer.FAILED, 0);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
      super.channelInactive(ctx);
      target.idle.remove(this);
      if (current != null) {
        Try one = current;
        current = null;
        comes(one, Answer.GONE, 0);
      }
    }
  }
}
