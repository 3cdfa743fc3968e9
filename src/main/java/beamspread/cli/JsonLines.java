package beamspread.cli;

import beamspread.fleet.api.Json;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.LayoutBase;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.event.KeyValuePair;

/** A line of the log as one JSON object, with the fields that a node's own log has. */
final class JsonLines extends LayoutBase<ILoggingEvent> {
  @Override
  public String doLayout(ILoggingEvent event) {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("time", event.getInstant().toString());
    line.put("level", event.getLevel().toString());
    line.put("logger", event.getLoggerName());
    if (event.getKeyValuePairs() != null) {
      for (KeyValuePair pair : event.getKeyValuePairs()) {
        line.put(pair.key, pair.value);
      }
    }
    line.put("message", event.getFormattedMessage());
    IThrowableProxy error = event.getThrowableProxy();
    if (error != null) {
      line.put("error", error.getClassName() + ": " + error.getMessage());
      if (error.getStackTraceElementProxyArray().length > 0) {
        line.put("at", error.getStackTraceElementProxyArray()[0].getSTEAsString());
      }
    }
    return Json.text(line) + System.lineSeparator();
  }
}
