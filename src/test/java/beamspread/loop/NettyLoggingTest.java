package beamspread.loop;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a library's warning that goes to the platform's logging (incident 0003). */
class NettyLoggingTest {
  private final List<String> lines = new ArrayList<>();

  @Test
  void warningsAndErrorsGoToTheProgramsLog() {
    NettyLogging.install((message, cause) -> lines.add(message + " | " + cause));
    InternalLogger logger = InternalLoggerFactory.getInstance("part");
    IllegalStateException cause = new IllegalStateException("broken");
    logger.info("dropped");
    logger.debug("dropped {}", 1);
    logger.warn("plain");
    logger.warn("with a cause", cause);
    logger.warn("one {} and {}", 1, cause);
    logger.error("all of {}, {}, {}", 1, 2, 3);
    assertThat(lines)
        .containsExactly(
            "part: plain | null",
            "part: with a cause | " + cause,
            "part: one 1 and " + cause + " | " + cause,
            "part: all of 1, 2, 3 | null");
  }
}
