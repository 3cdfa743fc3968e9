package beamspread.chaos;

import beamspread.fleet.api.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Asks each node again and again what it knows of the others, and tells what has changed. */
final class TierWatch implements Runnable {
  private static final int EVERY_MILLIS = 50;

  private final Map<String, Supplier<Path>> sockets;
  private final Stage stage;
  private final Map<String, Map<String, String>> views = new HashMap<>();
  private volatile boolean stop;
  private volatile boolean agreed;
  private volatile long round;

  /**
   * A watch.
   *
   * @param sockets by node, in the order of their numbers, where it tells its status
   */
  TierWatch(Map<String, Supplier<Path>> sockets, Stage stage) {
    this.sockets = new LinkedHashMap<>(sockets);
    this.stage = stage;
  }

  void stop() {
    stop = true;
  }

  /** Waits until all nodes see all nodes and the same of them; tells so if they do not. */
  void awaitAgreement(long seconds) throws InterruptedException {
    long from = System.nanoTime();
    long since = round;
    // One whole round at least that began after this was asked.
    while (!(agreed && round > since + 1) && System.nanoTime() - from < seconds * 1_000_000_000L) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    if (agreed) {
      stage.tell(
          History.What.SEEN,
          Run.RIG,
          "all nodes see the same, after %.2f s".formatted((System.nanoTime() - from) / 1e9));
    } else {
      stage.tell(
          History.What.SEEN,
          Run.RIG,
          "the nodes' views differ after " + seconds + " s: " + views,
          "differ",
          true);
    }
  }

  @Override
  public void run() {
    try {
      while (!stop) {
        Map<String, String> digests = new TreeMap<>();
        for (var one : sockets.entrySet()) {
          JsonNode tier = ask(one.getValue().get());
          if (tier != null && tier.hasNonNull("self")) {
            look(one.getKey(), tier);
            digests.put(one.getKey(), digest(tier));
          }
        }
        agreed =
            digests.size() == sockets.size()
                && digests.values().stream().distinct().count() == 1
                && views.values().stream().allMatch(this::whole);
        round++;
        TimeUnit.MILLISECONDS.sleep(EVERY_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean whole(Map<String, String> view) {
    return view.size() == sockets.size() && view.values().stream().allMatch("here"::equals);
  }

  private static String digest(JsonNode tier) {
    return tier.path("digest").asText();
  }

  private void look(String node, JsonNode tier) {
    Map<String, String> before = views.computeIfAbsent(node, key -> new TreeMap<>());
    Map<String, String> now = new TreeMap<>();
    for (JsonNode member : tier.path("members")) {
      String state = member.path("state").asText();
      boolean here = !state.equals("gone") && !state.equals("left");
      now.put("n" + member.path("number").asInt(), here ? "here" : state);
    }
    now.forEach(
        (member, state) -> {
          if (!state.equals(before.get(member))) {
            stage.tell(
                History.What.SEEN,
                node,
                member + " is " + state + " for " + node,
                "viewer",
                node,
                "member",
                member,
                "state",
                state);
          }
        });
    before.clear();
    before.putAll(now);
  }

  /** The field {@code tier} of a node's status; null if it does not answer. */
  private static JsonNode ask(Path socket) {
    try (SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX)) {
      channel.configureBlocking(false);
      channel.connect(UnixDomainSocketAddress.of(socket));
      // A node that stands still is not waited for.
      long until = System.nanoTime() + 200_000_000L;
      java.nio.ByteBuffer bytes = java.nio.ByteBuffer.allocate(128 << 10);
      while (System.nanoTime() < until) {
        if (channel.finishConnect() && channel.read(bytes) < 0) {
          String text = new String(bytes.array(), 0, bytes.position(), StandardCharsets.UTF_8);
          return Json.read(text, JsonNode.class).path("tier");
        }
        TimeUnit.MILLISECONDS.sleep(1);
      }
      return null;
    } catch (IOException | Json.BadJsonException e) {
      return null;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }
}
