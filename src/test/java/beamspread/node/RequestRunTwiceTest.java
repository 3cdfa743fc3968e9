package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.sim.Message;
import beamspread.sim.WireException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Node processes before cache servers that write lines without an id which answer nothing: no
 * request that may have run is sent again, unless its class allows it. Incident 41a528.
 *
 * <p>The long run: {@code mvn test -Dtest=RequestRunTwiceTest -Dseeds=50 -Dseed=1000}.
 */
class RequestRunTwiceTest {
  private static final int NODES = 3;
  private static final int SERVERS = 7;
  private static final int CLIENTS_PER_NODE = 4;
  private static final int REQUESTS_PER_CLIENT = 75;
  private static final int MAX_PIPELINED = 3;
  private static final int MAX_REPORTED_PER_SEED = 3;

  /** A deadline that an answer may miss, in milliseconds; others never do. */
  private static final int SHORT_DEADLINE_MILLIS = 25;

  private static final int LONG_DEADLINE_MILLIS = 1500;

  @TempDir Path folder;

  /** What the clients of one run sent and got. */
  private static final class Traffic {
    final List<String> unsafeIds = new CopyOnWriteArrayList<>();
    final List<String> keyedIds = new CopyOnWriteArrayList<>();
    final AtomicInteger patientUnsafe = new AtomicInteger();
    final AtomicInteger patientUnsafeServed = new AtomicInteger();
  }

  /** Which requests clients send. */
  private record Mix(boolean allUnsafe, boolean impatient, boolean stops) {}

  private record Sent(String id, boolean unsafe, boolean patient) {}

  /** Nodes and cache servers of one run. */
  private final class Scenario implements AutoCloseable {
    final CopyLog copies = new CopyLog();
    final Traffic traffic = new Traffic();
    private final long seed;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final List<FaultyReplyServer> servers = new ArrayList<>();
    private final List<ServeProcess> nodes = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final ScriptedDiscovery discovery;

    Scenario(long seed, FaultyReplyServer.Faults faults) throws Exception {
      this.seed = seed;
      for (int i = 0; i < SERVERS; i++) {
        String zone = i % 2 == 0 ? "a" : "b";
        servers.add(
            new FaultyReplyServer("s-" + i, zone, faults, 31 * seed + i, copies, scheduler));
      }
      discovery = new ScriptedDiscovery(list(41));
      for (int i = 0; i < NODES; i++) {
        ServeProcess node = new ServeProcess(folder, "n" + seed + "-" + i);
        node.configure("127.0.0.1:0", "", discovery.address(), NODES, list(40));
        nodes.add(node);
        processes.add(node.launch());
      }
      for (ServeProcess node : nodes) {
        Peers.await("a node has its list", () -> node.logged("discovery: version 41"));
        Peers.await("a node tells its address", () -> listenAddress(node) != null);
      }
    }

    private String list(int version) {
      return "{\"version\":%d,\"full\":true,\"servers\":[%s]}"
          .formatted(
              version,
              servers.stream().map(FaultyReplyServer::listEntry).collect(Collectors.joining(",")));
    }

    private static InetSocketAddress listenAddress(ServeProcess node) {
      try {
        String[] at = node.status().requiredText("listen").split(":");
        return new InetSocketAddress(at[0], Integer.parseInt(at[1]));
      } catch (IOException | WireException e) {
        return null;
      }
    }

    /** Returns what the nodes that still run have counted of replies. */
    List<String> replyCounts() {
      List<String> counts = new ArrayList<>();
      for (ServeProcess node : nodes) {
        try {
          Message replies = node.status().nested("replies");
          counts.add(
              "%.0f unsolicited, %.0f proven, %.0f closed, %.0f unproven"
                  .formatted(
                      replies.number("unsolicited", 0),
                      replies.number("proven", 0),
                      replies.number("closed", 0),
                      replies.number("unproven", 0)));
        } catch (IOException | WireException e) {
          counts.add("stopped");
        }
      }
      return counts;
    }

    void sendAll(Mix mix) throws Exception {
      List<Future<?>> running = new ArrayList<>();
      for (int i = 0; i < NODES * CLIENTS_PER_NODE; i++) {
        int number = i;
        InetSocketAddress address = listenAddress(nodes.get(i % NODES));
        running.add(clients.submit(() -> runClient(number, address, mix)));
      }
      if (mix.stops()) {
        Peers.await(
            "half of the requests are sent",
            () -> traffic.unsafeIds.size() > NODES * CLIENTS_PER_NODE * REQUESTS_PER_CLIENT / 4);
        for (Process process : processes) {
          signal("HUP", process);
        }
        signal("HUP", processes.get(0));
        signal("TERM", processes.get(0));
        signal("TERM", processes.get(0));
      }
      for (Future<?> client : running) {
        client.get(1, TimeUnit.MINUTES);
      }
    }

    private static void signal(String signal, Process process) throws Exception {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    private Void runClient(int number, InetSocketAddress address, Mix mix) {
      Random random = new Random(seed * 1000 + number);
      int[] sent = {0};
      while (sent[0] < REQUESTS_PER_CLIENT) {
        try (Peers.Client client = new Peers.Client(address)) {
          useConnection(client, random, number, sent, mix);
        } catch (IOException e) {
          // The node has closed the connection, or its listener.
          if (mix.stops()) {
            return null;
          }
          sent[0]++;
        }
      }
      return null;
    }

    /** Sends requests until all are sent or the connection ends. */
    private void useConnection(Peers.Client client, Random random, int number, int[] sent, Mix mix)
        throws IOException {
      while (sent[0] < REQUESTS_PER_CLIENT) {
        List<Sent> batch = new ArrayList<>();
        for (int i = random.nextInt(MAX_PIPELINED); i >= 0; i--) {
          batch.add(send(client, random, "%x-%d-%d".formatted(seed, number, sent[0]++), mix));
        }
        for (Sent request : batch) {
          if (!readAnswer(client, request)) {
            throw new IOException("the node has closed the connection");
          }
        }
      }
    }

    private Sent send(Peers.Client client, Random random, String id, Mix mix) throws IOException {
      int kind = mix.allUnsafe() ? 0 : random.nextInt(4);
      boolean patient = !mix.impatient() || random.nextInt(10) > 0;
      int deadline = patient ? LONG_DEADLINE_MILLIS : SHORT_DEADLINE_MILLIS;
      String flags = "O%s Pc=%s,d=%d".formatted(id, className(kind), deadline);
      if (kind < 2) {
        traffic.unsafeIds.add(id);
      } else if (kind == 2) {
        traffic.keyedIds.add(id);
      }
      String key = "key-" + random.nextInt(200);
      client.send(
          kind != 2 && random.nextBoolean()
              ? "mg %s v %s\r\n".formatted(key, flags)
              : "ms %s 5 %s%s\r\nworld\r\n".formatted(key, flags, kind == 2 ? ",k=" + id : ""));
      return new Sent(id, kind < 2, patient);
    }

    private static String className(int kind) {
      return kind < 2 ? "put" : kind == 2 ? "keyed" : "read";
    }

    /** Reads one answer; false at the end of the connection. */
    private boolean readAnswer(Peers.Client client, Sent request) throws IOException {
      String line = client.readLine();
      if (line == null) {
        return false;
      }
      if (line.startsWith("VA ")) {
        client.readLine();
      }
      if (request.unsafe() && request.patient()) {
        boolean served = line.startsWith("VA ") || line.startsWith("HD ");
        traffic.patientUnsafe.incrementAndGet();
        traffic.patientUnsafeServed.addAndGet(served ? 1 : 0);
      }
      return true;
    }

    @Override
    public void close() throws IOException {
      clients.shutdownNow();
      for (Process process : processes) {
        process.destroyForcibly().onExit().join();
      }
      scheduler.shutdownNow();
      discovery.close();
      for (FaultyReplyServer server : servers) {
        server.close();
      }
    }
  }

  private List<String> run(long seed) throws Exception {
    Random random = new Random(seed);
    FaultyReplyServer.Faults faults = FaultyReplyServer.Faults.draw(random);
    Mix mix = new Mix(random.nextBoolean(), random.nextBoolean(), random.nextInt(3) == 0);
    try (Scenario scenario = new Scenario(seed, faults)) {
      scenario.sendAll(mix);
      List<String> violations = new ArrayList<>();
      violations.addAll(scenario.copies.repeatedAfterRun(scenario.traffic.unsafeIds));
      violations.addAll(scenario.copies.repeatedOutsideGroup(scenario.traffic.keyedIds));
      System.out.println(
          "seed %d: %s, %s: %d repeated, %d of %d unsafe served, %d copies refused, %s"
              .formatted(
                  seed,
                  faults,
                  mix,
                  violations.size(),
                  scenario.traffic.patientUnsafeServed.get(),
                  scenario.traffic.patientUnsafe.get(),
                  scenario.copies.refusedCount(),
                  scenario.replyCounts()));
      return violations.stream()
          .limit(MAX_REPORTED_PER_SEED)
          .map(violation -> "seed " + seed + ": " + violation)
          .toList();
    }
  }

  @Test
  void lineThatAnswersNothingCausesNoSecondCopy() throws Exception {
    long first = Long.getLong("seed", 41528);
    int seeds = Integer.getInteger("seeds", 7);
    List<String> violations = new ArrayList<>();
    for (long seed = first; seed < first + seeds; seed++) {
      violations.addAll(run(seed));
    }
    assertThat(violations).isEmpty();
  }

  @Test
  void refusedRequestIsSentToAnotherServer() throws Exception {
    FaultyReplyServer.Faults refusals =
        new FaultyReplyServer.Faults(
            FaultyReplyServer.StrayMoment.NEVER, 0, "", false, 0.1, 0.5, 0, 0);
    try (Scenario scenario = new Scenario(1, refusals)) {
      scenario.sendAll(new Mix(true, false, false));
      int requests = scenario.traffic.patientUnsafe.get();
      int served = scenario.traffic.patientUnsafeServed.get();
      System.out.println(
          "%d of %d unsafe served, %d copies refused, %s"
              .formatted(served, requests, scenario.copies.refusedCount(), scenario.replyCounts()));
      assertThat(scenario.copies.refusedCount()).isGreaterThan(requests / 20);
      assertThat(scenario.copies.repeatedAfterRun(scenario.traffic.unsafeIds)).isEmpty();
      assertThat(served).isGreaterThanOrEqualTo(requests * 95 / 100);
    }
  }
}
