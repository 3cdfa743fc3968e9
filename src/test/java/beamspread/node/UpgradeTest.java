package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An upgrade: a new process starts on the same addresses while the old one serves. */
class UpgradeTest {
  /**
   * Requests that may reach a connection just as it closes; the protocol has clients send them
   * again.
   */
  private static final int CROSSINGS = 2;

  @TempDir Path folder;

  private ServeProcess node(String name) {
    return new ServeProcess(folder, name);
  }

  private Process launch(String name, String listen, Peers.Server discovery, Peers.Server server)
      throws IOException {
    node(name).configure(listen, "\"mgmt\":\"127.0.0.1:0\",", discovery, server);
    return node(name).launch();
  }

  private Calls ready(String name) throws InterruptedException {
    Calls[] calls = new Calls[1];
    Peers.await(
        name + " is ready",
        () -> {
          try {
            String[] at = node(name).status().requiredText("mgmt").split(":");
            calls[0] = new Calls(new InetSocketAddress(at[0], Integer.parseInt(at[1])));
            return calls[0].get("/_ready").status() == 200;
          } catch (IOException | WireException e) {
            return false;
          }
        });
    return calls[0];
  }

  private static void end(Process... processes) throws InterruptedException {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly().waitFor();
      }
    }
  }

  /** Sends a read on a new connection; returns whether it was served. */
  private static boolean served(InetSocketAddress node, String id) {
    try (Peers.Client client = new Peers.Client(node)) {
      return ("VA 5 O" + id).equals(client.read(id).line());
    } catch (IOException e) {
      return false;
    }
  }

  @Test
  void noRequestIsLostAndWhatIsTakenOutStaysOut() throws Exception {
    Process old = null;
    Process young = null;
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Server discovery = Peers.discovery(41, server)) {
      old = launch("old", "127.0.0.1:0", discovery, server);
      ready("old");
      String listen = node("old").status().requiredText("listen");
      String[] at = listen.split(":");
      InetSocketAddress node = new InetSocketAddress(at[0], Integer.parseInt(at[1]));
      AtomicBoolean stop = new AtomicBoolean();
      AtomicInteger served = new AtomicInteger();
      AtomicInteger failed = new AtomicInteger();
      Thread asker =
          new Thread(
              () -> {
                for (int i = 0; !stop.get() && i < 100_000; i++) {
                  (served(node, "u" + i) ? served : failed).incrementAndGet();
                }
              });
      asker.start();
      try (Peers.Client kept = new Peers.Client(node)) {
        long began = System.nanoTime();
        Peers.await(
            "requests are served for long enough to learn rates",
            () -> served.get() > 50 && System.nanoTime() - began > 2_500_000_000L);
        young = launch("young", listen, discovery, server);
        Calls youngCalls = ready("young");
        assertThat(node("young").logged("goes on with what the process before has learnt"))
            .isTrue();
        int before = served.get();
        old.destroy();
        // A request on a connection that stays open is answered, unless the connection was already
        // closed.
        String answer = kept.read("kept").line();
        assertThat(answer).isIn("VA 5 Okept", null);
        assertThat(old.waitFor(20, TimeUnit.SECONDS)).isTrue();
        Peers.await("the new process serves requests", () -> served.get() > before + 200);
        assertThat(youngCalls.get("/_vars").body().number("targets", 0)).isEqualTo(1);
      } finally {
        stop.set(true);
        asker.join(20_000);
      }
      assertThat(failed.get()).isLessThanOrEqualTo(CROSSINGS);
      assertThat(old.exitValue()).isIn(0, 143);
    } finally {
      end(old, young);
    }
  }

  @Test
  void whatIsTakenOutStaysOutWhenTheOldProcessIsKilled() throws Exception {
    Process old = null;
    Process young = null;
    try (Peers.Server server = new Peers.Server(Peers::good);
        Peers.Server discovery = Peers.discovery(41, server)) {
      old = launch("old", "127.0.0.1:0", discovery, server);
      String id = "s-" + server.address().getPort();
      assertThat(ready("old").detach(id).status()).isEqualTo(200);
      old.destroyForcibly().waitFor();
      young = launch("young", "127.0.0.1:0", discovery, server);
      Calls calls = ready("young");
      assertThat(calls.get("/_vars").body().number("targets_disabled", 0)).isEqualTo(1);
      assertThat(server.lines).isEmpty();
      assertThat(calls.attach(id).status()).isEqualTo(200);
      assertThat(calls.get("/_vars").body().number("targets_disabled", 1)).isZero();
    } finally {
      end(old, young);
    }
  }
}
