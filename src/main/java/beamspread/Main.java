package beamspread;

import beamspread.node.Node;
import beamspread.sim.SimHost;
import beamspread.sim.WireException;
import java.io.IOException;

/** The program's commands. */
public final class Main {
  private static final String USAGE = "usage: beamspread simhost | serve [--tally] | rehearse";

  private Main() {}

  /** Runs the command named by the first word. */
  public static void main(String[] args) throws InterruptedException {
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
