package beamspread.loop;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against an event loop that ends while its process lives on (incident 0003). */
class EventLoopThreadsTest {
  private final CountDownLatch unexpectedEnds = new CountDownLatch(1);
  private final EventLoopThreads threads = new EventLoopThreads("test", unexpectedEnds::countDown);

  /** Returns a factory of handlers whose runs end with an error. */
  private static IoHandlerFactory failingHandlers() {
    IoHandlerFactory nio = NioIoHandler.newFactory();
    return executor ->
        new ForwardingIoHandler(nio.newHandler(executor)) {
          @Override
          public int run(IoHandlerContext context) {
            throw new NoClassDefFoundError("expected by this test");
          }
        };
  }

  @Test
  void reportsALoopThatAnErrorEnds() throws Exception {
    var group = new MultiThreadIoEventLoopGroup(1, threads, failingHandlers());
    group.next().execute(() -> {});
    assertThat(unexpectedEnds.await(20, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void reportsNothingOfALoopThatIsShutDown() throws Exception {
    Thread thread = threads.newThread(() -> {});
    threads.expectEnd();
    thread.start();
    thread.join();
    assertThat(unexpectedEnds.getCount()).isEqualTo(1);
  }
}
