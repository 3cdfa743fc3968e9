package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.model.Settings;
import org.junit.jupiter.api.Test;

/** Calls to discovery keep their distance, whatever the settings make of it. */
class DiscoveryPaceTest {
  @Test
  void aNodeWithoutAnyFigureDoesNotRunDiscoveryDown() throws Exception {
    Settings good =
        Peers.settings(
            new Settings.Limits(6, true, true, false, false, false, 1, 2, 60, 32, 20000));
    Settings blank =
        new Settings(
            good.zone(),
            good.zones(),
            good.kinds(),
            0,
            1,
            true,
            good.weights(),
            good.cache(),
            good.limits(),
            new Settings.Contract(0, 0, 0, 0, 0, 0, 0),
            good.prices(),
            good.services(),
            good.tenants(),
            1,
            0,
            Settings.Spread.USUAL);
    String empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    try (Peers.Server down = new Peers.Server(line -> line.startsWith("GET ") ? empty : null)) {
      Node node = Peers.unstartedNode(blank, down);
      try {
        long began = System.nanoTime();
        node.start();
        // The feed pauses not at all after a failure. So many calls are soon reached either way.
        Peers.await("eight calls", () -> calls(down) >= 8);
        int calls = calls(down);
        long millis = (System.nanoTime() - began) / 1_000_000;
        assertTrue(calls <= 2 + millis / 200, calls + " calls in " + millis + " ms");
      } finally {
        node.close();
      }
    }
  }

  private static int calls(Peers.Server discovery) {
    return (int) discovery.lines.stream().filter(line -> line.startsWith("GET ")).count();
  }
}
