package beamspread.sim;

import beamspread.policy.Actions;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes the actions of one instance as messages of the simulator's protocol. */
final class ActionWriter implements Actions {
  private final JsonGenerator out;
  private final long instance;

  ActionWriter(JsonGenerator out, long instance) {
    this.out = out;
    this.instance = instance;
  }

  /** Writes the fields of one action. */
  private interface FieldWriter {
    void write() throws IOException;
  }

  private void writeAction(String type, FieldWriter fields) {
    try {
      out.writeStartObject();
      out.writeStringField("type", type);
      out.writeNumberField("i", instance);
      fields.write();
      out.writeEndObject();
      out.writeRaw('\n');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void send(String requestId, long server, double timeout) {
    writeAction(
        "PASS_ON",
        () -> {
          out.writeStringField("handle", requestId);
          out.writeNumberField("server", server);
          if (timeout > 0) {
            out.writeNumberField("max-wait", timeout);
          }
        });
  }

  @Override
  public void cancel(String requestId, int attempt) {
    writeAction(
        "REVOKE",
        () -> {
          out.writeStringField("handle", requestId);
          out.writeNumberField("trial", attempt);
        });
  }

  @Override
  public void refuse(String requestId, double retryAfter) {
    writeAction(
        "BUSY",
        () -> {
          out.writeStringField("handle", requestId);
          if (retryAfter > 0) {
            out.writeNumberField("cool-down", retryAfter);
          }
        });
  }

  @Override
  public void fail(String requestId) {
    writeAction("ERROR", () -> out.writeStringField("handle", requestId));
  }

  @Override
  public void setTimer(long token, double delay) {
    writeAction(
        "WAKE_ME",
        () -> {
          out.writeNumberField("key-back", token);
          out.writeNumberField("wait", delay);
        });
  }

  @Override
  public void subscribe(boolean on) {
    writeAction("SUBSCRIBE", () -> out.writeBooleanField("active", on));
  }

  @Override
  public void closeIdle(long server) {
    writeAction("SHUT_IDLE", () -> out.writeNumberField("server", server));
  }

  /** Reports an exception of the balancer. */
  void writeException(String text) {
    writeAction("EXCEPTION", () -> out.writeStringField("text", text));
  }
}
