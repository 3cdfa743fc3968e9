package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.model.Settings;
import org.junit.jupiter.api.Test;

/** Calls to discovery keep a minimum interval regardless of the settings. */
class DiscoveryRateTest {
  @Test
  void limitsCallRateWhenAllIntervalsAreZero() throws Exception {
    Settings usual =
        Peers.settings(
            new Settings.Limits(6, true, true, false, false, false, 1, 2, 60, 32, 20000));
    Settings zeroIntervals =
        new Settings(
            usual.zone(),
            usual.zones(),
            usual.kinds(),
            0,
            1,
            true,
            usual.weights(),
            usual.cache(),
            usual.limits(),
            new Settings.Contract(0, 0, 0, 0, 0, 0, 0),
            usual.prices(),
            usual.services(),
            usual.tenants(),
            1,
            0,
            Settings.Spread.DEFAULT);
    String emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    try (Peers.Server discovery =
        new Peers.Server(line -> line.startsWith("GET ") ? emptyAnswer : null)) {
      Node node = Peers.unstartedNode(zeroIntervals, discovery);
      try {
        long startedNanos = System.nanoTime();
        node.start();
        // With these settings the module does not wait after a failure. Eight calls are soon made
        // with and without the limit.
        Peers.await("eight calls", () -> callCount(discovery) >= 8);
        int calls = callCount(discovery);
        long millis = (System.nanoTime() - startedNanos) / 1_000_000;
        assertTrue(calls <= 2 + millis / 200, calls + " calls in " + millis + " ms");
      } finally {
        node.close();
      }
    }
  }

  private static int callCount(Peers.Server discovery) {
    return (int) discovery.lines.stream().filter(line -> line.startsWith("GET ")).count();
  }
}
