package beamspread.cli;

import beamspread.agent.AgentLog;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.PatternLayout;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.Layout;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.rolling.FixedWindowRollingPolicy;
import ch.qos.logback.core.rolling.RollingFileAppender;
import ch.qos.logback.core.rolling.SizeBasedTriggeringPolicy;
import ch.qos.logback.core.spi.ContextAwareBase;
import ch.qos.logback.core.util.FileSize;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Where the log of the operations goes. The command line says what its user must know by itself, so
 * that only warnings of libraries are shown; an agent's log follows its file. Found by logback
 * through its service file, so that it looks for no file of its own.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  private static final String LINE =
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0} %msg %kvp%n%ex{3}";

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    apply(context, new AgentLog(false, null, 1, 1), Level.WARN);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  /** Has all that this process logs go where an agent's file says. */
  static void agent(AgentLog log) {
    apply((LoggerContext) LoggerFactory.getILoggerFactory(), log, Level.INFO);
    // PostgreSQL's driver logs by java.util.logging.
    SLF4JBridgeHandler.removeHandlersForRootLogger();
    SLF4JBridgeHandler.install();
  }

  private static void apply(LoggerContext context, AgentLog log, Level level) {
    var root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.detachAndStopAllAppenders();
    LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
    encoder.setContext(context);
    encoder.setLayout(layout(context, log.json()));
    OutputStreamAppender<ILoggingEvent> appender =
        log.file() == null ? console() : file(context, log);
    appender.setContext(context);
    appender.setEncoder(encoder);
    encoder.start();
    appender.start();
    root.setLevel(level);
    root.addAppender(appender);
  }

  private static Layout<ILoggingEvent> layout(LoggerContext context, boolean json) {
    if (json) {
      JsonLines lines = new JsonLines();
      lines.setContext(context);
      lines.start();
      return lines;
    }
    PatternLayout lines = new PatternLayout();
    lines.setContext(context);
    lines.setPattern(LINE);
    lines.start();
    return lines;
  }

  private static OutputStreamAppender<ILoggingEvent> console() {
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setTarget("System.err");
    return console;
  }

  /** Full files are kept as FILE.1, the newest, and so on. */
  private static OutputStreamAppender<ILoggingEvent> file(LoggerContext context, AgentLog log) {
    RollingFileAppender<ILoggingEvent> file = new RollingFileAppender<>();
    file.setContext(context);
    file.setFile(log.file().toString());
    FixedWindowRollingPolicy kept = new FixedWindowRollingPolicy();
    kept.setContext(context);
    kept.setParent(file);
    kept.setFileNamePattern(log.file() + ".%i");
    kept.setMinIndex(1);
    kept.setMaxIndex(log.files());
    SizeBasedTriggeringPolicy<ILoggingEvent> full = new SizeBasedTriggeringPolicy<>();
    full.setContext(context);
    full.setMaxFileSize(new FileSize(log.megabytes() * FileSize.MB_COEFFICIENT));
    kept.start();
    full.start();
    file.setRollingPolicy(kept);
    file.setTriggeringPolicy(full);
    return file;
  }
}
