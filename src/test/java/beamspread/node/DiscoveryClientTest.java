package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.model.ListEvidence;
import beamspread.node.discovery.CallFailure;
import beamspread.node.discovery.DiscoveryClient;
import beamspread.node.discovery.MemberList;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Watches of the list when sockets can't be opened, and watches that end. */
class DiscoveryClientTest {
  private static final int SOCKET_FAILURES = 3;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final AtomicInteger failuresLeft = new AtomicInteger(SOCKET_FAILURES);
  private final List<ListEvidence> observedEvidence = new CopyOnWriteArrayList<>();
  private final List<String> events = new CopyOnWriteArrayList<>();

  @AfterEach
  void stop() throws Exception {
    group.shutdownGracefully().sync();
  }

  private DiscoveryClient client(Peers.Server discovery, boolean onDemand) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(
                () -> {
                  if (failuresLeft.getAndDecrement() > 0) {
                    throw new ChannelException("too many open files");
                  }
                  return new NioSocketChannel();
                });
    DiscoveryClient.Listener listener =
        new DiscoveryClient.Listener() {
          @Override
          public void listReceived(MemberList list) {
            events.add("list");
          }

          @Override
          public void evidenceObserved(long at, ListEvidence evidence) {
            observedEvidence.add(evidence);
          }

          @Override
          public void automaticCallFailed(CallFailure failure) {
            events.add(
                (loop.inEventLoop() ? "" : "on another thread: ") + "trouble " + failure.kind());
          }

          @Override
          public void requestedCallFailed(CallFailure failure) {
            events.add(
                (loop.inEventLoop() ? "" : "on another thread: ") + "failed " + failure.kind());
          }
        };
    return new DiscoveryClient(
        loop, bootstrap, discovery.address(), onDemand, 0, now -> 0, listener);
  }

  private static boolean hasWatch(Peers.Server discovery) {
    return discovery.lines.stream().anyMatch(line -> line.startsWith("GET"));
  }

  @Test
  void retriesPushedWatchUntilSocketCanBeOpened() throws Exception {
    try (Peers.Server discovery =
        new Peers.Server(line -> line.startsWith("GET ") ? Peers.WATCH_RESPONSE_HEAD : null)) {
      DiscoveryClient client = client(discovery, false);
      loop.execute(client::startWatch);
      Peers.await("a watch", () -> hasWatch(discovery));
      assertThat(events).containsOnly("trouble NOT_MADE").hasSize(SOCKET_FAILURES);
      loop.submit(client::stop).sync();
    }
  }

  @Test
  void reportsEachFailedCallThatWasRequested() throws Exception {
    try (Peers.Server discovery =
        new Peers.Server(line -> line.startsWith("GET ") ? Peers.WATCH_RESPONSE_HEAD : null)) {
      DiscoveryClient client = client(discovery, true);
      for (int i = 1; i <= SOCKET_FAILURES; i++) {
        int expected = i;
        loop.submit(client::startWatch).sync();
        Peers.await("the failure", () -> events.size() == expected);
      }
      loop.submit(client::startWatch).sync();
      Peers.await("a watch", () -> hasWatch(discovery));
      assertThat(events).containsOnly("failed NOT_MADE").hasSize(SOCKET_FAILURES);
      loop.submit(client::stop).sync();
    }
  }

  /** What a watch has not told before its end may have been changed: its end confirms nothing. */
  @ParameterizedTest
  @CsvSource({"'', true", "'', false", "'{\"version\":3,', false"})
  void endOfAWatchDoesNotConfirmTheList(String partialChange, boolean reset) throws Exception {
    failuresLeft.set(0);
    try (Peers.Server discovery =
        new Peers.Server(line -> line.startsWith("GET ") ? Peers.WATCH_RESPONSE_HEAD : null)) {
      DiscoveryClient client = client(discovery, true);
      loop.execute(client::startWatch);
      Peers.await("a watch", () -> hasWatch(discovery));
      discovery.send(0, Peers.chunk(Peers.listJson(2) + "\n"));
      Peers.await("its list", () -> events.contains("list"));
      if (!partialChange.isEmpty()) {
        discovery.send(0, Peers.chunk(partialChange));
      }
      discovery.closeConnectionOf(0, reset);
      Peers.await("its end", () -> events.stream().anyMatch(text -> text.startsWith("failed")));
      assertThat(observedEvidence).containsExactly(ListEvidence.CONFIRMED);
      loop.submit(client::stop).sync();
    }
  }
}
