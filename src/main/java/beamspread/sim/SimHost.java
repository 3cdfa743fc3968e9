package beamspread.sim;

import beamspread.policy.Balancer;
import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Runs many independent balancers that communicate with the simulator over a stream. */
public final class SimHost {
  /** A balancer and the writer of its actions. */
  private record Instance(Balancer balancer, ActionWriter actions) {}

  private final BufferedReader in;
  private final JsonGenerator out;
  private final Map<Long, Instance> instances = new HashMap<>();
  private boolean inBatch;
  private boolean hasSeenBatch;
  private double now;
  private long sequence;

  /** Creates a host that reads batches from {@code in} and writes replies to {@code out}. */
  public SimHost(InputStream in, OutputStream out) throws IOException {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    this.out = new JsonFactory().createGenerator(out, JsonEncoding.UTF8);
    this.out.setPrettyPrinter(new MinimalPrettyPrinter(""));
  }

  /** Answers batches until the input ends. */
  public void run() throws IOException, WireException {
    long lineNumber = 0;
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      lineNumber++;
      if (line.isBlank()) {
        continue;
      }
      try {
        handle(Message.parse(line));
      } catch (WireException e) {
        throw new WireException("line " + lineNumber + ": " + e.getMessage());
      }
    }
    if (inBatch) {
      throw new WireException("line " + lineNumber + ": input ends inside a batch");
    }
  }

  private void handle(Message message) throws IOException, WireException {
    String type = message.requiredText("type");
    if (type.equals("BATCH")) {
      beginBatch(message);
      return;
    }
    if (!inBatch) {
      throw new WireException(type + " message outside a batch");
    }
    if (type.equals("OVER_TO_YOU")) {
      inBatch = false;
      out.writeStartObject();
      out.writeStringField("type", "DONE");
      out.writeNumberField("seq", sequence);
      out.writeEndObject();
      out.writeRaw('\n');
      out.flush();
      return;
    }
    handleEvent(type, message);
  }

  private void beginBatch(Message message) throws WireException {
    if (inBatch) {
      throw new WireException("BATCH message inside a batch");
    }
    double time = message.requiredNumber("time");
    long seq = message.requiredInteger("seq");
    if (hasSeenBatch && (time < now || seq <= sequence)) {
      throw new WireException("BATCH message out of order");
    }
    now = time;
    sequence = seq;
    inBatch = true;
    hasSeenBatch = true;
  }

  private void handleEvent(String type, Message message) throws WireException {
    long instanceId = message.requiredInteger("i");
    if (type.equals("LAUNCH")) {
      long seed = message.requiredInteger("nonce64");
      ActionWriter actions = new ActionWriter(out, instanceId);
      var settings = MessageConverter.settings(message.requiredNested("conf"));
      runGuarded(
          actions,
          () ->
              instances.put(
                  instanceId, new Instance(new Balancer(settings, seed, actions), actions)));
      return;
    }
    Instance instance = instances.get(instanceId);
    if (instance == null) {
      throw new WireException(type + " message for unknown instance " + instanceId);
    }
    Balancer balancer = instance.balancer();
    ActionWriter actions = instance.actions();
    switch (type) {
      case "DETACH" -> instances.remove(instanceId);
      case "SYNC" -> {
        var update = MessageConverter.membership(message);
        runGuarded(actions, () -> balancer.onMembershipUpdate(now, update));
      }
      case "REQUEST" -> {
        var request = MessageConverter.request(message);
        runGuarded(actions, () -> balancer.onRequest(now, request));
      }
      case "FLOWING" -> {
        String id = message.requiredText("handle");
        int attempt = (int) message.number("trial", 0);
        runGuarded(actions, () -> balancer.onStreamStarted(now, id, attempt));
      }
      case "FINISHED" -> {
        var outcome = MessageConverter.outcome(message);
        runGuarded(actions, () -> balancer.onOutcome(now, outcome));
      }
      case "DROPPED" -> {
        String id = message.requiredText("handle");
        runGuarded(actions, () -> balancer.onClientGone(now, id));
      }
      case "DEADLINE_HIT" -> {
        long token = message.requiredInteger("key-back");
        runGuarded(actions, () -> balancer.onTimer(now, token));
      }
      case "HEALTH_RESULT" -> {
        // Only the format is checked: balancers send no probes and use requests as trials.
        message.requiredInteger("server");
        MessageConverter.result(message);
        MessageConverter.load(message);
      }
      case "WHISPER" -> {
        // Balancers don't exchange messages; only the format is checked.
        message.requiredInteger("by");
      }
      default -> throw new WireException("unknown message type '" + type + "'");
    }
  }

  /** Runs a step of a balancer and reports its exceptions in the protocol. */
  private static void runGuarded(ActionWriter actions, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      actions.writeException(e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }
}
