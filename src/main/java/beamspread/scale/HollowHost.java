package beamspread.scale;

import beamspread.agent.Agent;
import beamspread.node.Node;
import io.netty.util.internal.PlatformDependent;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process that holds many nodes or many agents, each with its own sockets, threads and state, and
 * nothing behind them: no client asks the nodes, no instance runs under the agents. Told what to do
 * by lines on its input; ends with its input.
 *
 * <p>Arguments: {@code nodes} or {@code agents}, then a file of configuration for each.
 */
public final class HollowHost {
  /** Between two looks at what the nodes know. */
  private static final long LOOK_MILLIS = 20;

  private static final long PATIENCE_NANOS = 60_000_000_000L;

  private final List<Node> nodes = new ArrayList<>();
  private final List<Agent> agents = new ArrayList<>();

  private HollowHost() {}

  /** Runs until its input ends. */
  public static void main(String[] args) throws Exception {
    HollowHost host = new HollowHost();
    List<String> files = List.of(args).subList(1, args.length);
    for (String file : files) {
      if (args[0].equals("nodes")) {
        host.nodes.add(Node.open(file));
      } else {
        host.agents.add(Agent.start(Path.of(file)));
      }
    }
    say("ready");
    host.run();
    // Nothing is owed to anybody here, and some hundred ends in order would take a while.
    Runtime.getRuntime().halt(0);
  }

  private static void say(String line) {
    System.out.println("hollow: " + line);
    System.out.flush();
  }

  private void run() throws Exception {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      String[] words = line.split(" ");
      switch (words[0]) {
        case "heap" -> say(Long.toString(heap()));
        case "listed" -> say(listed(Integer.parseInt(words[1])));
        default -> throw new IOException("unknown word: " + line);
      }
    }
  }

  /** What is in use after a collection, and what buffers hold outside the heap, in bytes. */
  private static long heap() throws InterruptedException {
    for (int i = 0; i < 2; i++) {
      System.gc();
      TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory()
        - runtime.freeMemory()
        + Math.max(0, PlatformDependent.usedDirectMemory());
  }

  /** When each node was seen to list so many servers, on the clock that all processes share. */
  private String listed(int servers) throws Exception {
    StringBuilder seen = new StringBuilder();
    List<Node> lacking = new ArrayList<>(nodes);
    long until = System.nanoTime() + PATIENCE_NANOS;
    while (!lacking.isEmpty() && System.nanoTime() - until < 0) {
      List<Node> still = new ArrayList<>();
      for (Node node : lacking) {
        if (node.listedServers().get() == servers) {
          seen.append(System.nanoTime()).append(' ');
        } else {
          still.add(node);
        }
      }
      lacking = still;
      if (!lacking.isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
      }
    }
    return seen.toString().strip();
  }
}
