package beamspread.loop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/** An event loop's I/O that is another's, but for what a subclass does of it itself. */
abstract class ForwardingIoHandler implements IoHandler {
  private final IoHandler inner;

  ForwardingIoHandler(IoHandler inner) {
    this.inner = inner;
  }

  @Override
  public int run(IoHandlerContext context) {
    return inner.run(context);
  }

  @Override
  public void initialize() {
    inner.initialize();
  }

  @Override
  public void prepareToDestroy() {
    inner.prepareToDestroy();
  }

  @Override
  public void destroy() {
    inner.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return inner.register(handle);
  }

  @Override
  public void wakeup() {
    inner.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return inner.isCompatible(type);
  }
}
