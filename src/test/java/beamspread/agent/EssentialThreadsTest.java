package beamspread.agent;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.loop.EventLoopThreads;
import org.junit.jupiter.api.Test;

/**
 * Guards against an agent that ends with a thread which a pool replaces, or lives on without one.
 */
class EssentialThreadsTest {
  @Test
  void onlyThreadsThatNothingStartsAnewAreEssential() {
    Thread loop = new EventLoopThreads("agent-io", () -> {}).newThread(() -> {});
    assertThat(Agent.isEssential(loop)).isTrue();
    assertThat(Agent.isEssential(new Thread("record"))).isTrue();
    assertThat(Agent.isEssential(new Thread("agent-work"))).isFalse();
    assertThat(Agent.isEssential(new Thread("agent"))).isFalse();
  }
}
