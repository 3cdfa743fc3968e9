package beamspread.loop;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.function.BiConsumer;

/**
 * Leads warnings and errors of the network library to the program's own log. The platform's logging
 * opens files when it is first used, which fails when no descriptor is left: its error would end
 * the event loop that logs.
 */
public final class NettyLogging {
  private static final String PLACEHOLDER = "{}";

  private NettyLogging() {}

  /**
   * Replaces the library's logging; call it before the library is first used.
   *
   * @param log receives a message and its cause, which is null for none
   */
  public static void install(BiConsumer<String, Throwable> log) {
    InternalLoggerFactory.setDefaultFactory(
        new InternalLoggerFactory() {
          @Override
          protected InternalLogger newInstance(String name) {
            return new ForwardingLogger(name, log);
          }
        });
  }

  /** Replaces each placeholder by its argument, as far as there are any. */
  private static String format(String format, Object... arguments) {
    StringBuilder text = new StringBuilder();
    int from = 0;
    for (Object argument : arguments) {
      int placeholder = format.indexOf(PLACEHOLDER, from);
      if (placeholder < 0) {
        break;
      }
      text.append(format, from, placeholder).append(argument);
      from = placeholder + PLACEHOLDER.length();
    }
    return text.append(format, from, format.length()).toString();
  }

  /** Returns the last argument if it is a cause, else null. */
  private static Throwable causeOf(Object... arguments) {
    Object last = arguments.length == 0 ? null : arguments[arguments.length - 1];
    return last instanceof Throwable cause ? cause : null;
  }

  /** Forwards warnings and errors, and drops the rest. */
  private static final class ForwardingLogger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;

    private final transient BiConsumer<String, Throwable> log;

    ForwardingLogger(String name, BiConsumer<String, Throwable> log) {
      super(name);
      this.log = log;
    }

    private void forward(String message, Throwable cause) {
      log.accept(name() + ": " + message, cause);
    }

    @Override
    public boolean isTraceEnabled() {
      return false;
    }

    @Override
    public void trace(String message) {}

    @Override
    public void trace(String format, Object argument) {}

    @Override
    public void trace(String format, Object first, Object second) {}

    @Override
    public void trace(String format, Object... arguments) {}

    @Override
    public void trace(String message, Throwable cause) {}

    @Override
    public boolean isDebugEnabled() {
      return false;
    }

    @Override
    public void debug(String message) {}

    @Override
    public void debug(String format, Object argument) {}

    @Override
    public void debug(String format, Object first, Object second) {}

    @Override
    public void debug(String format, Object... arguments) {}

    @Override
    public void debug(String message, Throwable cause) {}

    @Override
    public boolean isInfoEnabled() {
      return false;
    }

    @Override
    public void info(String message) {}

    @Override
    public void info(String format, Object argument) {}

    @Override
    public void info(String format, Object first, Object second) {}

    @Override
    public void info(String format, Object... arguments) {}

    @Override
    public void info(String message, Throwable cause) {}

    @Override
    public boolean isWarnEnabled() {
      return true;
    }

    @Override
    public void warn(String message) {
      forward(message, null);
    }

    @Override
    public void warn(String format, Object argument) {
      forward(format(format, argument), causeOf(argument));
    }

    @Override
    public void warn(String format, Object first, Object second) {
      forward(format(format, first, second), causeOf(second));
    }

    @Override
    public void warn(String format, Object... arguments) {
      forward(format(format, arguments), causeOf(arguments));
    }

    @Override
    public void warn(String message, Throwable cause) {
      forward(message, cause);
    }

    @Override
    public boolean isErrorEnabled() {
      return true;
    }

    @Override
    public void error(String message) {
      forward(message, null);
    }

    @Override
    public void error(String format, Object argument) {
      forward(format(format, argument), causeOf(argument));
    }

    @Override
    public void error(String format, Object first, Object second) {
      forward(format(format, first, second), causeOf(second));
    }

    @Override
    public void error(String format, Object... arguments) {
      forward(format(format, arguments), causeOf(arguments));
    }

    @Override
    public void error(String message, Throwable cause) {
      forward(message, cause);
    }
  }
}
