package beamspread.sim;

import beamspread.policy.Actions;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes the actions of one instance in the wire's words. */
final class ActionWriter implements Actions {
  private final JsonGenerator out;
  private final long instance;

  ActionWriter(JsonGenerator out, long instance) {
    this.out = out;
    this.instance = instance;
  }

  /** The fields of one action. */
  private interface Fields {
    void write() throws IOException;
  }

  private void action(String type, Fields fields) {
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
    action(
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
    action(
        "REVOKE",
        () -> {
          out.writeStringField("handle", requestId);
          out.writeNumberField("trial", attempt);
        });
  }

  @Override
  public void refuse(String requestId, double retryAfter) {
    action(
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
    action("ERROR", () -> out.writeStringField("handle", requestId));
  }

  @Override
  public void wake(long token, double delay) {
    action(
        "WAKE_ME",
        () -> {
          out.writeNumberField("key-back", token);
          out.writeNumberField("wait", delay);
        });
  }

  @Override
  public void subscribe(boolean on) {
    action("SUBSCRIBE", () -> out.writeBooleanField("active", on));
  }

  @Override
  public void closeIdle(long server) {
    action("SHUT_IDLE", () -> out.writeNumberField("server", server));
  }

  /** Declares the decision code broken. */
  void exception(String text) {
    action("EXCEPTION", () -> out.writeStringField("text", text));
  }
}
