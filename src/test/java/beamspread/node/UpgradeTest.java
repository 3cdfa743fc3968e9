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
  private static final int MAX_FAILED_REQUESTS = 2;

  @TempDir Path folder;

  private ServeProcess node(String name) {
    return new ServeProcess(folder, name);
  }

  private Process launch(String name, String listen, Peers.Server discovery, Peers.Server server)
      throws IOException {
    node(name).configure(listen, "\"mgmt\":\"127.0.0.1:0\",", discovery, server);
    return node(name).launch();
  }

  private ManagementClient awaitReady(String name) throws InterruptedException {
    ManagementClient[] calls = new ManagementClient[1];
    Peers.await(
        name + " is ready",
        () -> {
          try {
            String[] at = node(name).status().requiredText("mgmt").split(":");
            calls[0] = new ManagementClient(new InetSocketAddress(at[0], Integer.parseInt(at[1])));
            return calls[0].get("/_ready").status() == 200;
          } catch (IOException | WireException e) {
            return false;
          }
        });
    return calls[0];
  }

  private static void destroy(Process... processes) throws InterruptedException {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly().waitFor();
      }
    }
  }

  /** Sends a read on a new connection; returns whether it was served. */
  private static boolean isServed(InetSocketAddress node, String id) {
    try (Peers.Client client = new Peers.Client(node)) {
      return ("VA 5 O" + id).equals(client.read(id).readLine());
    } catch (IOException e) {
      return false;
    }
  }

  @Test
  void upgradeLosesNoRequestAndPassesOnLearntState() throws Exception {
    Process oldProcess = null;
    Process newProcess = null;
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server discovery = Peers.discovery(41, server)) {
      oldProcess = launch("old", "127.0.0.1:0", discovery, server);
      awaitReady("old");
      String listen = node("old").status().requiredText("listen");
      String[] at = listen.split(":");
      InetSocketAddress node = new InetSocketAddress(at[0], Integer.parseInt(at[1]));
      AtomicBoolean stop = new AtomicBoolean();
      AtomicInteger served = new AtomicInteger();
      AtomicInteger failed = new AtomicInteger();
      Thread requester =
          new Thread(
              () -> {
                for (int i = 0; !stop.get() && i < 100_000; i++) {
                  (isServed(node, "u" + i) ? served : failed).incrementAndGet();
                }
              });
      requester.start();
      try (Peers.Client kept = new Peers.Client(node)) {
        long began = System.nanoTime();
        Peers.await(
            "requests are served for long enough to learn rates",
            () -> served.get() > 50 && System.nanoTime() - began > 2_500_000_000L);
        newProcess = launch("young", listen, discovery, server);
        ManagementClient newClient = awaitReady("young");
        assertThat(node("young").logged("goes on with what the process before has learnt"))
            .isTrue();
        int before = served.get();
        oldProcess.destroy();
        // A request on a connection that stays open is answered, unless the connection was already
        // closed.
        String answer = kept.read("kept").readLine();
        assertThat(answer).isIn("VA 5 Okept", null);
        assertThat(oldProcess.waitFor(20, TimeUnit.SECONDS)).isTrue();
        Peers.await("the new process serves requests", () -> served.get() > before + 200);
        assertThat(newClient.get("/_vars").body().number("targets", 0)).isEqualTo(1);
      } finally {
        stop.set(true);
        requester.join(20_000);
      }
      assertThat(failed.get()).isLessThanOrEqualTo(MAX_FAILED_REQUESTS);
      assertThat(oldProcess.exitValue()).isIn(0, 143);
    } finally {
      destroy(oldProcess, newProcess);
    }
  }

  @Test
  void detachmentSurvivesKilledProcess() throws Exception {
    Process oldProcess = null;
    Process newProcess = null;
    try (Peers.Server server = new Peers.Server(Peers::successReply);
        Peers.Server discovery = Peers.discovery(41, server)) {
      oldProcess = launch("old", "127.0.0.1:0", discovery, server);
      String id = "s-" + server.address().getPort();
      assertThat(awaitReady("old").detach(id).status()).isEqualTo(200);
      oldProcess.destroyForcibly().waitFor();
      newProcess = launch("young", "127.0.0.1:0", discovery, server);
      ManagementClient calls = awaitReady("young");
      assertThat(calls.get("/_vars").body().number("targets_disabled", 0)).isEqualTo(1);
      assertThat(server.lines).isEmpty();
      assertThat(calls.attach(id).status()).isEqualTo(200);
      assertThat(calls.get("/_vars").body().number("targets_disabled", 1)).isZero();
    } finally {
      destroy(oldProcess, newProcess);
    }
  }
}
