package beamspread.replay;

import beamspread.lab.Demand;
import beamspread.lab.Fleet;
import beamspread.lab.PoissonDemand;
import beamspread.lab.Result;
import beamspread.lab.Tally;
import beamspread.model.Settings;
import beamspread.standin.BoxServer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * One run of a fleet on loopback, with real nodes. The stand-ins and the clients share one loop
 * that does not sleep: a timer of the usual loop is late by up to a millisecond, which is much of
 * an answer's time.
 */
public final class Replay implements AutoCloseable {
  private final Fleet fleet;
  private final long seed;
  private final ReplayNodes source;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1,
          NioIoHandler.newFactory(
              SelectorProvider.provider(), () -> (ready, tasks) -> ready.get()));

  private final EventLoop loop = group.next();
  private final ExecutorService starts;
  private final List<ReplayNodes.Running> nodes = new ArrayList<>();
  private final ReplayStage stage;

  /** Sets the stage; no node runs yet. */
  public Replay(Fleet fleet, long seed, ReplayNodes source)
      throws IOException, InterruptedException {
    this.fleet = fleet.sound();
    this.seed = seed;
    this.source = source;
    this.starts = Executors.newFixedThreadPool(Math.min(8, fleet.nodes()));
    try {
      this.stage = new ReplayStage(loop, fleet, seed);
    } catch (IOException | InterruptedException e) {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      throw e;
    }
  }

  /**
   * Plays the run.
   *
   * @param warmSeconds that count for nothing
   * @param seconds that count
   * @throws IOException if a node does not start
   */
  public Result run(double warmSeconds, double seconds) throws IOException, InterruptedException {
    return run(new PoissonDemand(fleet.load(), seed), warmSeconds, seconds);
  }

  /** The same with other requests than the fleet's load says. */
  public Result run(Demand demand, double warmSeconds, double seconds)
      throws IOException, InterruptedException {
    Tally tally = new Tally();
    long warm = (long) (warmSeconds * 1e9);
    long end = warm + (long) (seconds * 1e9);
    ReplayClients clients = new ReplayClients(loop, fleet, demand, tally, seed, warm, end);
    try {
      List<Future<ReplayNodes.Running>> starting = new ArrayList<>();
      for (int i = 0; i < fleet.nodes(); i++) {
        int number = i;
        starting.add(starts.submit(() -> start(number)));
      }
      for (Future<ReplayNodes.Running> one : starting) {
        nodes.add(one.get());
      }
      long[][] sums = new long[2][];
      CompletableFuture<Void> done = new CompletableFuture<>();
      loop.execute(
          () -> {
            for (int i = 0; i < nodes.size(); i++) {
              clients.node(i, nodes.get(i).address());
            }
            fleet.faults().forEach(fault -> plan(fault, clients));
            loop.schedule(() -> sums[0] = sums(), warm, TimeUnit.NANOSECONDS);
            clients
                .run()
                .whenComplete(
                    (ended, failure) -> {
                      sums[1] = sums();
                      done.complete(null);
                    });
          });
      done.get((long) (warmSeconds + seconds) + 120, TimeUnit.SECONDS);
      return tally.result(
          sums[1][0] - sums[0][0],
          sums[1][1] - sums[0][1],
          sums[1][2] - sums[0][2],
          sums[1][3] - sums[0][3],
          0);
    } catch (ExecutionException e) {
      throw new IOException("a node did not start: " + e.getCause().getMessage(), e.getCause());
    } catch (TimeoutException e) {
      throw new IOException("the run did not end in time", e);
    }
  }

  private ReplayNodes.Running start(int number) throws IOException, InterruptedException {
    try {
      var list = loop.submit(stage::list).get(10, TimeUnit.SECONDS);
      return source.start(
          number,
          NodeText.config(fleet, number, seed, stage.discovery.address(), list),
          NodeText.pool(fleet));
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(e);
    }
  }

  private long[] sums() {
    return new long[] {
      stage.sum(BoxServer::commands),
      stage.sum(BoxServer::handshakes),
      stage.sum(BoxServer::turnedDown),
      stage.store.fetches()
    };
  }

  // What goes wrong, by the same plan as in the model.

  private void in(double seconds, Runnable step) {
    loop.schedule(step, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
  }

  private void plan(Fleet.Fault fault, ReplayClients clients) {
    double at = fault.at();
    double until = at + fault.lasts();
    int number = fault.number();
    double lag = fleet.network().list();
    switch (fault.kind()) {
      case BOX_RESTARTS -> {
        BoxServer box = stage.boxes.get(number);
        in(at, box::end);
        in(until, () -> startCold(box, number));
      }
      case BOX_DRAINS -> {
        BoxServer box = stage.boxes.get(number);
        in(at + lag, () -> stage.draining(number));
        in(
            until,
            () -> {
              box.end();
              startCold(box, number);
            });
      }
      case BOX_SLOW -> {
        in(at, () -> stage.boxes.get(number).slow(fault.part()));
        in(until, () -> stage.boxes.get(number).slow(1));
      }
      case ORIGIN_SLOW -> {
        in(at, () -> stage.store.slow(fault.part()));
        in(until, () -> stage.store.slow(1));
      }
      case NODE_DIES -> {
        CompletableFuture<ReplayNodes.Running> next = new CompletableFuture<>();
        in(at, () -> starts.execute(() -> replace(number, next)));
        // It is in front again when the plan says, however soon it has started.
        in(
            until,
            () ->
                next.thenAcceptAsync(node -> clients.node(number, node.address()), loop)
                    .exceptionally(failure -> null));
      }
    }
  }

  private void startCold(BoxServer box, int number) {
    Settings.Contract contract = fleet.settings(0).contract();
    long now = System.currentTimeMillis();
    box.start(contract.coldFrom(), (long) (contract.warmWithin() * 1e9));
    in(fleet.network().list(), () -> stage.started(number, now));
  }

  private void replace(int number, CompletableFuture<ReplayNodes.Running> next) {
    try {
      nodes.get(number).kill();
      ReplayNodes.Running node = start(number);
      nodes.set(number, node);
      next.complete(node);
    } catch (IOException e) {
      next.completeExceptionally(new CompletionException(e));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    starts.shutdownNow();
    try {
      starts.awaitTermination(1, TimeUnit.MINUTES);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    nodes.forEach(ReplayNodes.Running::kill);
    stage.close();
    group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }
}
