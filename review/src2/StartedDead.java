import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Instances that end at once when they are started, and what operators are told of them. */
final class StartedDead {
  private static final int INSTANCES = 30;
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpClient HTTP = HttpClient.newHttpClient();

  public static void main(String[] arguments) throws Exception {
    Kit.begin(arguments[0]);
    long most = mostDescriptors();
    Kit.say("this machine lets a process have " + most + " descriptors");
    if (most > 1_048_575) {
      Kit.say("more than an agent may be told to set");
      Kit.end(2);
    }
    boolean mayRaise =
        new ProcessBuilder("/bin/sh", "-c", "ulimit -n " + (most + 1) + " 2> /dev/null")
                .start()
                .waitFor()
            == 0;
    Path folder = Kit.temporary();
    Path own = Files.createDirectories(folder.resolve("agent"));
    Kit.instancesUnder(own);
    int api = Kit.freePort();
    String url = "http://127.0.0.1:" + api;
    StringBuilder text = new StringBuilder();
    text.append("name = \"one\"\nfolder = \"").append(own).append("\"\n");
    text.append("[api]\nlisten = \"127.0.0.1:").append(api).append("\"\n[defaults]\n");
    text.append("command = [\"/bin/sh\", \"-c\", '").append(Kit.deployed("run")).append("']\n");
    text.append("folder = \"").append(Kit.ROOT).append("\"\n");
    text.append("limits = {descriptors = ").append(Kit.TROUBLE && !mayRaise ? most + 1 : 1024).append("}\n");
    for (int i = 0; i < INSTANCES; i++) {
      Path config = own.resolve("n" + i + ".json");
      Kit.write(config, Configs.node("n" + i, i, INSTANCES, own.resolve("n" + i + ".sock")));
      text.append("[[instance]]\nname = \"n").append(i).append("\"\nautostart = false\nconfig = \"");
      text.append(config).append("\"\n");
    }
    Path file = own.resolve("agent.toml");
    Kit.write(file, text.toString());
    if (mayRaise && Kit.TROUBLE) {
      Kit.say("this user may raise the limit: the names of the pid files are taken instead");
      for (int i = 0; i < INSTANCES; i++) {
        Files.createDirectory(own.resolve("n" + i + ".pid"));
      }
    }
    Kit.start("agent", Map.of(), List.of("./beamspread", "agent", "--config", file.toString()));
    Path inventory = folder.resolve("fleet.toml");
    Kit.write(inventory, "[[agent]]\nname = \"one\"\nurl = \"" + url + "\"\n");
    awaitAgent(url);
    int untrue = 0;
    for (int round = 1; round <= 3; round++) {
      Process start =
          Kit.start(
              "start-" + round,
              Map.of(),
              List.of(
                  "./beamspread", "fleet", "start", "--all", "--stop-after", "0", "-o", "json",
                  "-i", inventory.toString()));
      start.waitFor();
      untrue += untrueResults(round, url);
      Kit.sleep(Kit.TROUBLE ? 4000 : 1000);
    }
    Map<String, Long> before = runningAsToldButGone(url);
    Kit.sleep(10_000);
    Map<String, Long> after = runningAsToldButGone(url);
    after.keySet().retainAll(before.keySet());
    after.forEach(
        (name, pid) -> {
          if (pid.equals(before.get(name))) {
            Kit.say(name + " is told to run as process " + pid + ", which has been gone for 10 s");
          } else {
            after.remove(name, pid);
          }
        });
    Kit.say(untrue + " starts were told as done though the process had ended, and "
        + after.size() + " instances are told to run without a process");
    Kit.end(untrue + after.size() > 0 ? 1 : 0);
  }

  private static long mostDescriptors() throws Exception {
    Process shell = new ProcessBuilder("/bin/sh", "-c", "ulimit -Hn").start();
    String text = new String(shell.getInputStream().readAllBytes()).strip();
    return text.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(text);
  }

  private static JsonNode get(String url) throws Exception {
    return JSON.readTree(
        HTTP.send(HttpRequest.newBuilder(URI.create(url)).build(), HttpResponse.BodyHandlers.ofString())
            .body());
  }

  /** Whether a process of this number is there, and is no mere remains. */
  private static boolean runs(long pid) {
    try {
      String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      return stat.charAt(stat.lastIndexOf(')') + 2) != 'Z';
    } catch (java.io.IOException e) {
      return false;
    }
  }

  private static Map<String, Long> runningAsToldButGone(String url) throws Exception {
    Map<String, Long> gone = new java.util.concurrent.ConcurrentHashMap<>();
    for (JsonNode one : get(url + "/v1/instances").path("instances")) {
      Kit.note("told: " + one.path("name").asText() + " " + one.path("state").asText() + " "
          + one.path("pid").asText() + " " + one.path("reason").asText());
      long pid = one.path("pid").asLong();
      if (one.path("state").asText().equals("running") && !runs(pid)) {
        gone.put(one.path("name").asText(), pid);
      }
    }
    return gone;
  }

  /** Counts results of the last start that say that it was done, where no process is there. */
  private static int untrueResults(int round, String url) throws Exception {
    // The agent has time to notice an end: only what it goes on telling is untrue.
    Map<String, Long> first = runningAsToldButGone(url);
    Kit.sleep(2000);
    Map<String, Long> gone = runningAsToldButGone(url);
    gone.entrySet().removeIf(one -> !one.getValue().equals(first.get(one.getKey())));
    StringBuilder json = new StringBuilder();
    boolean begun = false;
    for (String line : Kit.log("start-" + round)) {
      Kit.note("start " + round + ": " + line);
      begun |= line.startsWith("{");
      json.append(begun ? line : "").append('\n');
    }
    int untrue = 0;
    int done = 0;
    int failed = 0;
    try (var parser = JSON.createParser(json.toString())) {
      JsonNode report = JSON.readTree(parser);
      for (JsonNode result : report.path("results")) {
        String name = result.path("instance").asText();
        String outcome = result.path("outcome").asText();
        boolean told = outcome.equals("succeeded")
            || (outcome.equals("skipped") && result.path("reason").asText().contains("runs already"));
        done += told ? 1 : 0;
        failed += outcome.equals("failed") ? 1 : 0;
        if (told && gone.containsKey(name)) {
          untrue++;
          Kit.say("start of " + name + " is told as " + outcome + " "
              + result.path("reason").asText("") + ", and its process is gone: " + gone.get(name));
        }
      }
    }
    Kit.say("start " + round + ": " + done + " told as done or running, " + failed + " as failed");
    if (done + failed == 0) {
      Kit.end(2);
    }
    return untrue;
  }

  private static void awaitAgent(String url) throws Exception {
    for (int i = 0; i < 100; i++) {
      try {
        get(url + "/v1/agent");
        return;
      } catch (java.io.IOException e) {
        Kit.sleep(100);
      }
    }
    Kit.end(2);
  }
}
