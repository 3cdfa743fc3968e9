package beamspread.agent;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An agent as a process of its own, which kills itself at a point of a reload. */
final class KilledAgent {
  private KilledAgent() {}

  /**
   * The agent's file, then the point and how often it is passed before the end; without these it
   * runs on.
   */
  public static void main(String[] args) throws Exception {
    AgentCore.Point point = args.length > 1 ? AgentCore.Point.valueOf(args[1]) : null;
    AtomicInteger left = new AtomicInteger(args.length > 2 ? Integer.parseInt(args[2]) : 0);
    Agent.start(
        Path.of(args[0]),
        passed -> {
          if (passed == point && left.getAndDecrement() == 0) {
            Runtime.getRuntime().halt(137);
          }
        });
    new CountDownLatch(1).await(5, TimeUnit.MINUTES);
  }
}
