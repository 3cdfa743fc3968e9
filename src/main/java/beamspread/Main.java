package beamspread;

import beamspread.node.Node;
import beamspread.sim.SimHost;
import beamspread.sim.WireException;
import java.io.IOException;

/** The program's commands. */
public final class Main {
  private static final String USAGE = "usage: beamspread simhost | serve [--tally] | rehearse";

  /**
   * Lets the network library count its direct memory by itself, with the access that the jar's
   * manifest opens: a reservation beyond the limit then fails at once, while the platform's own
   * collects garbage and sleeps for half a second before it fails.
   */
  private static final String COUNTED_DIRECT_MEMORY = "io.netty.tryReflectionSetAccessible";

  private Main() {}

  /** Runs the command named by the first word. */
  public static void main(String[] args) throws InterruptedException {
    System.setProperty(COUNTED_DIRECT_MEMORY, "true");
    switch (String.join(" ", args)) {
      case "simhost" -> simhost();
      case "rehearse" -> System.exit(Node.rehearse());
      case "serve" -> System.exit(Node.serve(System.getenv("ROUTER_CONFIG"), false));
      case "serve --tally" -> System.exit(Node.serve(System.getenv("ROUTER_CONFIG"), true));
      default -> {
        System.err.println(USAGE);
        System.exit(2);
      }
    }
  }

  private static void simhost() {
    try {
      new SimHost(System.in, System.out).run();
    } catch (WireException | IOException e) {
      System.err.println("simhost: " + e.getMessage());
      System.exit(1);
    }
  }
}
