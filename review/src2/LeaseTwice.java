import beamspread.standin.postgres.PgServer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Two operators take the work on a fleet over at the same time. */
final class LeaseTwice {
  /** Within the 8.4 to 16 ms one way between the two server rooms. */
  private static final double ONE_WAY_MILLIS = 16;

  /** Within the 0.088 to 0.3 ms of the site within a room. */
  private static final double SAME_ROOM_MILLIS = 0.2;

  /** The statement by which an operator becomes the owner. */
  private static final String TAKES = "fleet_lease SET holder = $1";

  private static final int INSTANCES_EACH = 2;
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpClient HTTP = HttpClient.newHttpClient();

  public static void main(String[] arguments) throws Exception {
    Kit.begin(arguments[0]);
    PgServer database = new PgServer("ops", "secret");
    int port = Integer.parseInt(database.url().replaceAll(".*:(\\d+)/.*", "$1"));
    Kit.Delay otherRoom = new Kit.Delay(port, ONE_WAY_MILLIS);
    Kit.Delay sameRoom = new Kit.Delay(port, SAME_ROOM_MILLIS);
    Path folder = Kit.temporary();
    Kit.write(folder.resolve("db.password"), "secret\n");
    folder.resolve("db.password").toFile().setReadable(false, false);
    folder.resolve("db.password").toFile().setReadable(true, true);
    Map<String, String> urls = new HashMap<>();
    for (String zone : List.of("budapest", "debrecen")) {
      urls.put(zone, agent(folder, zone));
    }
    Path near = inventory(folder, "near", urls, sameRoom.port());
    Path far = inventory(folder, "far", urls, otherRoom.port());
    awaitRunning(urls);
    double shift = 300;
    double aim = 30;
    double sum = 0;
    int samples = 0;
    int rounds = 0;
    int both = 0;
    while (Kit.seconds() < 88 && rounds < 40) {
      rounds++;
      // budapest's operator sits in the other room than the database, debrecen's beside it.
      otherRoom.watch(TAKES);
      sameRoom.watch(TAKES);
      Process first = operator("far-" + rounds, far, "budapest", shift < 0 ? -shift : 0);
      if (!Kit.TROUBLE) {
        first.waitFor();
      }
      Process second = operator("near-" + rounds, near, "debrecen", shift > 0 ? shift : 0);
      first.waitFor();
      second.waitFor();
      long token1 = token("far-" + rounds);
      long token2 = token("near-" + rounds);
      List<long[]> steps1 = steps(urls.get("budapest"), "far-" + rounds);
      List<long[]> steps2 = steps(urls.get("debrecen"), "near-" + rounds);
      Kit.say(
          "round %d: budapest's operator has token %d and began %d steps, debrecen's has token %d and began %d"
              .formatted(rounds, token1, steps1.size(), token2, steps2.size()));
      boolean together = together(steps1, steps2);
      if (token1 > 0 && token1 == token2) {
        both++;
        Kit.say("both operators own the lease under one token");
      }
      if (together) {
        tell("budapest", steps1);
        tell("debrecen", steps2);
        Kit.say("both were at work at the same time");
        Kit.end(1);
      }
      if (!Kit.TROUBLE && rounds == 3) {
        break;
      }
      if (otherRoom.seenAt() != 0 && sameRoom.seenAt() != 0) {
        // Two that start at the same time need not ask at the same time: the next round is nearer.
        double apart = (sameRoom.seenAt() - otherRoom.seenAt()) / 1e6;
        Kit.say("debrecen's operator asked %.1f ms after budapest's".formatted(apart));
        sum += apart - shift;
        samples++;
        shift = aim - sum / samples;
      }
    }
    Kit.say(rounds + " rounds, " + both + " with two owners of one token");
    Kit.end(both > 0 ? 1 : 0);
  }

  /** Whether steps of both operations were under way at the same time. */
  private static boolean together(List<long[]> one, List<long[]> other) {
    for (long[] a : one) {
      for (long[] b : other) {
        if (a[0] < b[1] && b[0] < a[1]) {
          return true;
        }
      }
    }
    return false;
  }

  private static void tell(String who, List<long[]> steps) {
    steps.forEach(
        step -> Kit.say("step of " + who + "'s operator: began " + step[0] + " ended " + step[1]));
  }

  private static String agent(Path folder, String zone) throws Exception {
    Path own = Files.createDirectories(folder.resolve("agent-" + zone));
    Kit.instancesUnder(own);
    int api = Kit.freePort();
    StringBuilder text = new StringBuilder();
    text.append("name = \"").append(zone).append("\"\nfolder = \"").append(own).append("\"\n");
    text.append("[api]\nlisten = \"127.0.0.1:").append(api).append("\"\n");
    text.append("[defaults]\nzone = \"").append(zone).append("\"\n");
    text.append("command = [\"/bin/sh\", \"-c\", '").append(Kit.deployed("run")).append("']\n");
    text.append("folder = \"").append(Kit.ROOT).append("\"\n");
    for (int i = 0; i < INSTANCES_EACH; i++) {
      String name = zone.charAt(0) + "" + i;
      Path config = own.resolve(name + ".json");
      Path socket = own.resolve(name + ".sock");
      Kit.write(config, Configs.node(name, i, 2 * INSTANCES_EACH, socket));
      text.append("[[instance]]\nname = \"").append(name).append("\"\nconfig = \"").append(config);
      text.append("\"\nstatus_socket = \"").append(socket).append("\"\n");
    }
    Path file = own.resolve("agent.toml");
    Kit.write(file, text.toString());
    Kit.start(
        "agent-" + zone, Map.of(), List.of("./beamspread", "agent", "--config", file.toString()));
    return "http://127.0.0.1:" + api;
  }

  private static Path inventory(Path folder, String name, Map<String, String> urls, int port)
      throws Exception {
    StringBuilder text = new StringBuilder("answer_s = 5\npatience_s = 30\n");
    urls.forEach(
        (zone, url) ->
            text.append("[[agent]]\nname = \"").append(zone).append("\"\nurl = \"").append(url)
                .append("\"\n"));
    text.append("[lease]\nfleet = \"main\"\nduration_s = 10\n");
    text.append("url = \"jdbc:postgresql://127.0.0.1:").append(port).append("/record\"\n");
    text.append("user = \"ops\"\npassword_file = \"").append(folder.resolve("db.password"));
    text.append("\"\n");
    Path file = folder.resolve(name + ".toml");
    Kit.write(file, text.toString());
    return file;
  }

  private static Process operator(String name, Path inventory, String zone, double after)
      throws Exception {
    String command =
        "sleep %.3f; exec ./beamspread fleet restart --zone %s --batch 1 --take-over --by %s -i %s"
            .formatted(after / 1000, zone, name, inventory);
    return Kit.start(name, Map.of(), List.of("/bin/sh", "-c", command));
  }

  private static long token(String name) {
    for (String line : Kit.log(name)) {
      Kit.note(name + ": " + line);
    }
    return Kit.log(name).stream()
        .filter(line -> line.startsWith("owner of ") && line.contains(", token "))
        .mapToLong(line -> Long.parseLong(line.replaceAll(".*, token (\\d+).*", "$1")))
        .findFirst()
        .orElse(0);
  }

  private static JsonNode get(String url) throws Exception {
    return JSON.readTree(
        HTTP.send(HttpRequest.newBuilder(URI.create(url)).build(), HttpResponse.BodyHandlers.ofString())
            .body());
  }

  /** When the steps of this operator's operation began and ended, by the agent's record. */
  private static List<long[]> steps(String url, String by) throws Exception {
    List<long[]> steps = new ArrayList<>();
    for (JsonNode operation : get(url + "/v1/operations?most=200").path("operations")) {
      if (operation.path("by").asText().equals(by)) {
        JsonNode whole = get(url + "/v1/operations/" + operation.path("id").asText());
        for (JsonNode step : whole.path("steps")) {
          Kit.note(by + " " + step);
          long ended = step.path("ended_ms").asLong();
          steps.add(
              new long[] {step.path("began_ms").asLong(), ended == 0 ? Long.MAX_VALUE : ended});
        }
      }
    }
    return steps;
  }

  private static void awaitRunning(Map<String, String> urls) throws Exception {
    for (int i = 0; i < 200; i++) {
      int running = 0;
      for (String url : urls.values()) {
        try {
          for (JsonNode one : get(url + "/v1/instances").path("instances")) {
            running += one.path("state").asText().equals("running") ? 1 : 0;
          }
        } catch (java.io.IOException e) {
          // Not there yet.
        }
      }
      if (running == 2 * INSTANCES_EACH) {
        Kit.say("all instances run");
        return;
      }
      Kit.sleep(100);
    }
    Kit.say("the instances do not run");
    Kit.end(2);
  }
}
