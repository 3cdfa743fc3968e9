package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A new version is started on the same addresses while the old one serves: two processes. */
class UpgradeTest {
  /** Requests that may meet a connection just as it ends; the protocol has them sent once more. */
  private static final int CROSSINGS = 2;

  @TempDir Path folder;

  private Process launch(String name, String listen, Peers.Server discovery, Peers.Server server)
      throws IOException {
    Path config = folder.resolve(name + ".json");
    Files.writeString(
        config,
        """
        {"name":"n0","listen":"%s","discovery":"127.0.0.1:%d","seed":"1f",
         "status_socket":"%s","mgmt":"127.0.0.1:0",
         "limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,
         "settings":{"zone":"a","azs":["a"],"kinds":["box"],"instances":1,"discovery":"ask",
          "caps":{"attempts-cap":6,"cancel":true,"connect-timeout":1,"conn-idle":60,"multiplex":32,
           "parallel-tries":true},
          "contract":{"ask-within":10,"drain-grace":2,"warm-within":10,"cold-from":0.5,
           "overload-factor":3,"overload-for":2},
          "services":[{"name":"read","slo":1,"give-up":2,"effect":"retryable"},
           {"name":"put","slo":1,"give-up":2,"effect":"fragile"}]}}
        """
            .formatted(
                listen,
                discovery.address().getPort(),
                folder.resolve(name + ".sock"),
                Peers.list(40, server)));
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "beamspread.Main",
            "serve");
    builder.environment().put("ROUTER_CONFIG", config.toString());
    builder.environment().put("TMPDIR", folder.toString());
    return builder
        .redirectErrorStream(true)
        .redirectOutput(folder.resolve(name + ".log").toFile())
        .start();
  }

  private Message status(String name) throws IOException, WireException {
    try (SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX)) {
      channel.connect(UnixDomainSocketAddress.of(folder.resolve(name + ".sock")));
      return Message.parse(
          new String(Channels.newInputStream(channel).readAllBytes(), StandardCharsets.UTF_8));
    }
  }

  private Calls ready(String name) throws InterruptedException {
    Calls[] calls = new Calls[1];
    Peers.await(
        name + " says yes",
        () -> {
          try {
            String[] at = status(name).requiredText("mgmt").split(":");
            calls[0] = new Calls(new InetSocketAddress(at[0], Integer.parseInt(at[1])));
            return calls[0].get("/_ready").status() == 200;
          } catch (IOException | WireException e) {
            return false;
          }
        });
    return calls[0];
  }

  private String log(String name) {
    try {
      return Files.readString(folder.resolve(name + ".log"));
    } catch (IOException e) {
      return "";
    }
  }

  /** Asks on a new connection each time; whether it was served. */
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
      String listen = status("old").requiredText("listen");
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
            "requests are served for longer than rates take to be learnt",
            () -> served.get() > 50 && System.nanoTime() - began > 2_500_000_000L);
        young = launch("young", listen, discovery, server);
        Calls youngCalls = ready("young");
        assertThat(log("young")).contains("goes on with what the process before has learnt");
        int before = served.get();
        old.destroy();
        // What was sent on a connection that is kept is answered as long as it is open.
        String answer = kept.read("kept").line();
        assertThat(answer).isIn("VA 5 Okept", null);
        assertThat(old.waitFor(20, TimeUnit.SECONDS)).isTrue();
        Peers.await("the young one serves on", () -> served.get() > before + 200);
        assertThat(youngCalls.get("/_vars").body().number("targets", 0)).isEqualTo(1);
      } finally {
        stop.set(true);
        asker.join(20_000);
      }
      assertThat(failed.get()).isLessThanOrEqualTo(CROSSINGS);
      assertThat(old.exitValue()).isIn(0, 143);
    } finally {
      for (Process process : new Process[] {old, young}) {
        if (process != null) {
          process.destroyForcibly().waitFor();
        }
      }
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
      for (Process process : new Process[] {old, young}) {
        if (process != null) {
          process.destroyForcibly().waitFor();
        }
      }
    }
  }
}
