package beamspread.loop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/** An I/O handler that delegates to another one; subclasses override what they change. */
abstract class ForwardingIoHandler implements IoHandler {
  private final IoHandler delegate;

  ForwardingIoHandler(IoHandler delegate) {
    this.delegate = delegate;
  }

  @Override
  public int run(IoHandlerContext context) {
    return delegate.run(context);
  }

  @Override
  public void initialize() {
    delegate.initialize();
  }

  @Override
  public void prepareToDestroy() {
    delegate.prepareToDestroy();
  }

  @Override
  public void destroy() {
    delegate.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return delegate.register(handle);
  }

  @Override
  public void wakeup() {
    delegate.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return delegate.isCompatible(type);
  }
}
