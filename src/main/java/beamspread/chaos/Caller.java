package beamspread.chaos;

import beamspread.fleet.api.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An operator: starts the command line again and again, each time as a process of its own that
 * reaches the agents over links, and tells what it said.
 */
final class Caller implements Runnable {
  private static final int MOST_OPERATIONS = 200;

  /** What a command says first when it has the lease. */
  private static final Pattern OWNER = Pattern.compile("owner of \\S+: .*, token (\\d+)");

  /** An operation that takes longer is said not to end. */
  static final long LONGEST_SECONDS = 90;

  private final String name;
  private final Path inventory;
  private final Stage stage;
  private final SplittableRandom random;

  private final RolloutScene.Operators operators;
  private final List<String> agents;

  private volatile Process process;
  private volatile boolean stop;
  private int operations;

  /**
   * An operator.
   *
   * @param agents where it reaches each agent
   * @param operators what it works under, and on
   */
  Caller(
      String name,
      Map<String, InetSocketAddress> agents,
      Stage stage,
      RolloutScene.Operators operators)
      throws IOException {
    this.name = name;
    this.operators = operators;
    this.agents = List.copyOf(new TreeMap<>(agents).keySet());
    this.stage = stage;
    this.random = new SplittableRandom(stage.seed() * 37 + name.hashCode());
    this.inventory = stage.folder().resolve(name + ".toml");
    StringBuilder toml = new StringBuilder("answer_s = 1\npatience_s = 4\n");
    new TreeMap<>(agents)
        .forEach(
            (agent, at) ->
                toml.append(
                    "[[agent]]\nname = \"%s\"\nurl = \"http://127.0.0.1:%d\"\n"
                        .formatted(agent, at.getPort())));
    if (leased()) {
      toml.append(
          "[lease]\nduration_s = %d\nfile = \"%s\"\n"
              .formatted(operators.leaseSeconds(), stage.folder().resolve("leases.db")));
    }
    Files.writeString(inventory, toml);
  }

  private boolean leased() {
    return operators.leaseSeconds() > 0;
  }

  /** All instances, or those of one agent. */
  private List<String> selection() {
    if (operators.parts() && random.nextBoolean()) {
      return List.of("--agent", agents.get(random.nextInt(agents.size())));
    }
    return List.of("--all");
  }

  /** Begins nothing new. */
  void stop() {
    stop = true;
  }

  /** The process of the operation under way; -1 where there is none. */
  long pid() {
    Process now = process;
    return now == null ? -1 : now.pid();
  }

  /** Ends the operation under way, if there is one. */
  void kill() throws InterruptedException {
    Process now = process;
    if (now != null) {
      now.destroyForcibly().waitFor();
    }
  }

  @Override
  public void run() {
    try {
      while (!stop && operations < MOST_OPERATIONS) {
        operate(random.nextBoolean() ? "restart" : "reload");
        TimeUnit.MILLISECONDS.sleep(50 + random.nextInt(200));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      stage.tell(History.What.SEEN, name, "cannot ask: " + e.getMessage(), "broken", true);
    }
  }

  /** One operation over all instances; its exit code, -1 if it did not end. */
  int operate(String kind) throws IOException, InterruptedException {
    String operation = name + "/" + ++operations;
    stage.tell(History.What.ASKED, name, kind, "operation", operation, "kind", kind);
    Path out = stage.folder().resolve(name + ".out");
    Path err = stage.folder().resolve(name + ".err");
    List<String> words =
        new ArrayList<>(
            Program.operations(48, "fleet", "-i", inventory.toString(), "-o", "json", kind));
    words.addAll(selection());
    // What an operation's steps are known by at the agents.
    words.addAll(List.of("--by", operators.judged() ? operation : name));
    if (leased()) {
      words.add(random.nextInt(4) == 0 ? "--take-over" : "--wait");
    }
    if (kind.equals("restart")) {
      words.addAll(List.of("--max-unavailable", "1"));
    }
    Process started =
        new ProcessBuilder(words)
            .directory(stage.folder().toFile())
            .redirectOutput(out.toFile())
            .redirectError(err.toFile())
            .start();
    process = started;
    boolean ended = started.waitFor(LONGEST_SECONDS, TimeUnit.SECONDS);
    if (!ended) {
      started.destroyForcibly().waitFor();
    }
    process = null;
    tellOwner(operation, Files.readString(err, StandardCharsets.UTF_8));
    int code = ended ? started.exitValue() : -1;
    tell(operation, kind, code, Files.readString(out, StandardCharsets.UTF_8));
    return code;
  }

  /** Tells under which token an operation ran, by its own word. */
  private void tellOwner(String operation, String err) {
    Matcher owner = OWNER.matcher(err);
    if (owner.find()) {
      long token = Long.parseLong(owner.group(1));
      stage.tell(
          History.What.TOLD,
          name,
          "owns the work with token " + token,
          LeaseJudge.OPERATION,
          operation,
          LeaseJudge.TOKEN,
          token);
    }
  }

  private void tell(String operation, String kind, int code, String report) {
    JsonNode said = report(report);
    for (JsonNode one : said.path("results")) {
      String instance = one.path("instance").asText();
      String outcome = one.path("outcome").asText();
      stage.tell(
          History.What.TOLD,
          name,
          "%s of %s %s: %s".formatted(kind, instance, outcome, one.path("reason").asText()),
          "operation",
          operation,
          "kind",
          kind,
          "instance",
          instance,
          "outcome",
          outcome);
    }
    stage.tell(
        History.What.TOLD,
        name,
        kind + " ended with exit code " + code,
        "operation",
        operation,
        "kind",
        kind,
        "code",
        code,
        "results",
        said.path("results").size());
  }

  private static JsonNode report(String text) {
    try {
      return Json.read(text, JsonNode.class);
    } catch (Json.BadJsonException e) {
      // Killed before it could say anything: nothing is known of it.
      return Json.tree(Map.of());
    }
  }
}
