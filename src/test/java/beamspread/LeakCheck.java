package beamspread;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.util.ResourceLeakDetector;
import io.netty.util.ResourceLeakDetectorFactory;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Fails a test class if a buffer was garbage-collected without being released. */
public final class LeakCheck implements BeforeAllCallback, AfterAllCallback {
  private static final List<String> LEAKS = new CopyOnWriteArrayList<>();

  static {
    ResourceLeakDetectorFactory.setResourceLeakDetectorFactory(
        new ResourceLeakDetectorFactory() {
          @Override
          @Deprecated
          public <T> ResourceLeakDetector<T> newResourceLeakDetector(
              Class<T> resource, int samplingInterval, long maxActive) {
            return newResourceLeakDetector(resource, samplingInterval);
          }

          @Override
          public <T> ResourceLeakDetector<T> newResourceLeakDetector(
              Class<T> resource, int samplingInterval) {
            return new Recorder<>(resource, samplingInterval);
          }
        });
  }

  private static final class Recorder<T> extends ResourceLeakDetector<T> {
    Recorder(Class<T> resource, int samplingInterval) {
      super(resource, samplingInterval);
    }

    @Override
    protected boolean needReport() {
      return true;
    }

    @Override
    protected void reportTracedLeak(String resource, String records) {
      LEAKS.add(resource + records);
    }

    @Override
    protected void reportUntracedLeak(String resource) {
      LEAKS.add(resource);
    }
  }

  @Override
  public void beforeAll(ExtensionContext context) {
    assertEquals(ResourceLeakDetector.Level.PARANOID, ResourceLeakDetector.getLevel());
    LEAKS.clear();
  }

  @Override
  public void afterAll(ExtensionContext context) throws InterruptedException {
    LEAKS.removeIf(String::isEmpty);
    for (int i = 0; i < 5; i++) {
      System.gc();
      Thread.sleep(20);
      // Leaks are reported when the next buffer is allocated.
      PooledByteBufAllocator.DEFAULT.directBuffer(16).release();
    }
    assertEquals(List.of(), LEAKS);
  }
}
