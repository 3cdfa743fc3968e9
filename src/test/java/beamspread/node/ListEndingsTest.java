package beamspread.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beamspread.LeakCheck;
import beamspread.model.Settings;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How calls to discovery end, and what the node then holds to. */
@ExtendWith(LeakCheck.class)
class ListEndingsTest {
  private static final String READ = "GET /catalog/members HTTP";
  private static final String FOLLOW = "GET /catalog/members?follow=1";

  private static Settings settings(boolean asked) {
    return Peers.settings(
        new Settings.Limits(6, true, true, false, false, false, 1, 2, 60, 32, 20000),
        asked,
        List.of(Peers.service("read", Settings.Effect.SAFE)));
  }

  private static Peers.Rig rig(boolean asked, Peers.Server discovery, Peers.Server... servers)
      throws Exception {
    Settings settings = settings(asked);
    return new Peers.Rig(settings, Peers.poolSettings(settings, 256), discovery, servers);
  }

  private static long calls(Peers.Server discovery, String begin) {
    return discovery.lines.stream().filter(line -> line.startsWith(begin)).count();
  }

  /** The number of the call that begins so for the nth time, among all lines that came. */
  private static int call(Peers.Server discovery, String begin, int number) {
    int found = -1;
    for (int i = 0; i < discovery.lines.size(); i++) {
      if (discovery.lines.get(i).startsWith(begin) && ++found == number) {
        return i;
      }
    }
    throw new AssertionError("no call " + number + " for " + begin);
  }

  /** A list, or a change of it, with lines as they are given. */
  private static String list(int version, boolean full, String... lines) {
    return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}"
        .formatted(version, full, String.join(",", lines));
  }

  private static String line(Peers.Server server, String state) {
    return "{\"id\":\"s-%d\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"box\",\"state\":\"%s\"}"
        .formatted(server.address().getPort(), server.address().getPort(), state);
  }

  private static String whole(String json) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
  }

  /** Asks for one key after the other until the server has been asked. */
  private static void reaches(Peers.Rig rig, Peers.Server server) throws Exception {
    int before = server.lines.size();
    try (Peers.Client client = rig.client()) {
      for (int i = 0; i < 1000 && server.lines.size() == before; i++) {
        String id = Long.toString(System.nanoTime());
        client.read(id);
        assertEquals("VA 5 O" + id, client.readLine());
        assertEquals("hello", client.readLine());
      }
    }
    assertTrue(server.lines.size() > before, "no request came to it");
  }

  /** Many keys are asked for, none of them there. */
  private static void avoids(Peers.Rig rig, Peers.Server server) throws Exception {
    int before = server.lines.size();
    try (Peers.Client client = rig.client()) {
      for (int i = 0; i < 200; i++) {
        String id = Long.toString(System.nanoTime());
        client.read(id);
        assertEquals("VA 5 O" + id, client.readLine());
        assertEquals("hello", client.readLine());
      }
    }
    assertEquals(before, server.lines.size());
  }

  @Test
  void anIndentedListCountsHoweverItIsCut() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> calls(discovery, FOLLOW) == 1);
      String indented =
          list(2, true, line(first, "active"), line(second, "active"))
              .replace("{", "{\n  ")
              .replace(",", ",\r\n  ")
              .replace("}", "\n}\n");
      int watch = call(discovery, FOLLOW, 0);
      for (int i = 0; i < indented.length(); i += 7) {
        discovery.send(
            watch, Peers.chunk(indented.substring(i, Math.min(indented.length(), i + 7))));
      }
      Peers.await("both are known", () -> rig.node.listedServerCount() == 2);
      reaches(rig, second);
      // Two on one line, one that ends in the next piece.
      String change = list(3, false, line(first, "leaving")) + list(4, false, line(first, "left"));
      discovery.send(watch, Peers.chunk(change.substring(0, change.length() - 4)));
      discovery.send(watch, Peers.chunk(change.substring(change.length() - 4)));
      Peers.await("the first has left", () -> rig.node.listedServerCount() == 1);
      avoids(rig, first);
      assertEquals(1, discovery.lines.stream().filter(line -> line.startsWith("GET")).count());
    }
  }

  @Test
  void halfAListAtTheEndOfAWatchChangesNothing() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> calls(discovery, FOLLOW) == 1);
      String cut = list(2, true, line(second, "active"));
      discovery.send(
          call(discovery, FOLLOW, 0),
          Peers.chunk(cut.substring(0, cut.length() - 1)) + "0\r\n\r\n");
      Peers.await("the next watch", () -> calls(discovery, FOLLOW) == 2);
      assertTrue(
          discovery.lines.get(call(discovery, FOLLOW, 1)).contains("since=1 "),
          "as far as it knows");
      reaches(rig, first);
      avoids(rig, second);
    }
  }

  @Test
  void aListThatBreaksOffIsNotTakenForOneThatGoesOn() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> calls(discovery, FOLLOW) == 1);
      int watch = call(discovery, FOLLOW, 0);
      discovery.send(watch, Peers.chunk("{\"version\":2,\n\n"));
      Peers.await("the next watch", () -> calls(discovery, FOLLOW) == 2);
      discovery.send(
          call(discovery, FOLLOW, 1), Peers.chunk(list(3, true, line(second, "active")) + "\n"));
      reaches(rig, second);
    }
  }

  /** The connections stay open and nothing more comes. */
  @Test
  void aSilentWatchIsOpenedAnewWithTimeToSpare() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> calls(discovery, FOLLOW) == 1);
      long silentSince = System.nanoTime();
      discovery.send(call(discovery, FOLLOW, 0), Peers.chunk("\n"));
      Peers.await("the next watch", () -> calls(discovery, FOLLOW) == 2);
      long millis = (System.nanoTime() - silentSince) / 1_000_000;
      // Two seconds before what it misses counts as told: enough for a connect that hangs.
      assertTrue(millis < 4_200, millis + " ms");
      assertTrue(millis > 2_500, "a sign of life comes every 2 s: " + millis + " ms");
      assertEquals(1, rig.node.listedServerCount(), "until it answers, the list stays");
    }
  }

  /** A call is taken and never answered; whatever was missed counts as told 6 s later. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aCallWithoutAnAnswerLeavesTimeForTwoMore(boolean asked) throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(line -> null);
        Peers.Rig rig = rig(asked, discovery, first)) {
      Peers.await("a call", () -> calls(discovery, FOLLOW) == 1);
      long calledAt = System.nanoTime();
      Peers.await("the next", () -> calls(discovery, FOLLOW) == 2);
      long millis = (System.nanoTime() - calledAt) / 1_000_000;
      assertTrue(millis > 2_000, "an answer may wait for 2 s: " + millis + " ms");
      assertTrue(millis < 3_500, millis + " ms");
      assertEquals(1, rig.node.listedServerCount(), "until it answers, the list stays");
    }
  }

  @Test
  void aStandOfTheNodeIsNotTheSilenceOfDiscovery() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> calls(discovery, FOLLOW) == 1);
      int watch = call(discovery, FOLLOW, 0);
      discovery.send(watch, Peers.chunk("\n"));
      try (EventLoopHold hold = new EventLoopHold(rig.node, 5_500_000_000L)) {
        discovery.send(watch, Peers.chunk("\n"));
        hold.release();
      }
      discovery.send(
          watch, Peers.chunk(list(2, true, line(first, "active"), line(second, "active")) + "\n"));
      Peers.await("the list", () -> rig.node.listedServerCount() == 2);
      assertEquals(1, calls(discovery, FOLLOW));
    }
  }

  /** A watch that tells changes where the whole was asked for, so that a call reads the whole. */
  private static int changesForWhole(Peers.Server discovery, String change) throws Exception {
    Peers.await("a watch", () -> calls(discovery, FOLLOW) == 1);
    discovery.send(call(discovery, FOLLOW, 0), Peers.chunk("nonsense\n"));
    Peers.await("one for the whole", () -> calls(discovery, FOLLOW) == 2);
    int watch = call(discovery, FOLLOW, 1);
    assertTrue(discovery.lines.get(watch).startsWith(FOLLOW + " "), "without a version");
    discovery.send(watch, Peers.chunk(change + "\n"));
    Peers.await("a call for the whole", () -> calls(discovery, READ) == 1);
    return watch;
  }

  @Test
  void aWholeListThatIsOlderThanWhatTheWatchToldIsAskedForAgain() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server third = new Peers.Server(Peers::successReply);
        Peers.Server discovery =
            new Peers.Server(
                answers(line -> line.startsWith(READ) ? "" : Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first, second)) {
      int watch = changesForWhole(discovery, list(5, false, line(third, "active")));
      discovery.send(watch, Peers.chunk(list(7, false, line(second, "left")) + "\n"));
      Peers.await("the second has left", () -> rig.node.listedServerCount() == 2);
      String[] both = {line(first, "active"), line(second, "active")};
      discovery.send(call(discovery, READ, 0), whole(list(5, true, both)));
      Peers.await("the whole again", () -> calls(discovery, READ) == 2);
      avoids(rig, second);
      discovery.send(call(discovery, READ, 1), whole(list(7, true, line(first, "active"))));
      Peers.await("that counts", () -> rig.node.listedServerCount() == 1);
      reaches(rig, first);
      assertEquals(2, calls(discovery, FOLLOW));
    }
  }

  @Test
  void aCallForTheWholeThatFailsIsNoFailureOfTheWatch() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery =
            new Peers.Server(
                answers(line -> line.startsWith(READ) ? "" : Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(true, discovery, first)) {
      changesForWhole(discovery, list(5, false, line(second, "active")));
      discovery.send(call(discovery, READ, 0), "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
      Peers.await("the whole again", () -> calls(discovery, READ) == 2);
      discovery.send(call(discovery, READ, 1), whole(list(6, true, line(second, "active"))));
      Peers.await("that counts", () -> rig.node.listedServerCount() == 1);
      assertEquals(2, calls(discovery, FOLLOW));
    }
  }

  @Test
  void aWholeListThatMakesNoSenseIsAskedForAgain() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery =
            new Peers.Server(
                answers(line -> line.startsWith(READ) ? "" : Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      changesForWhole(discovery, list(5, false, line(second, "active")));
      discovery.send(call(discovery, READ, 0), whole("{\"version\":6,\"full\":true}"));
      Peers.await("the whole again", () -> calls(discovery, READ) == 2);
      assertEquals(2, rig.node.listedServerCount(), "until then the last good list stays");
      discovery.send(call(discovery, READ, 1), whole(list(6, true, line(second, "active"))));
      Peers.await("that counts", () -> rig.node.listedServerCount() == 1);
      assertEquals(2, calls(discovery, FOLLOW));
    }
  }

  /** Discovery has been restarted and counts from 1 again. */
  @Test
  void changesOfALowerVersionAreFollowedByACallForTheWhole() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery =
            new Peers.Server(
                answers(line -> line.startsWith(READ) ? "" : Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> calls(discovery, FOLLOW) == 1);
      int watch = call(discovery, FOLLOW, 0);
      discovery.send(watch, Peers.chunk(list(9, false, line(first, "active")) + "\n"));
      discovery.send(watch, Peers.chunk(list(2, false, line(second, "active")) + "\n"));
      Peers.await("a call for the whole", () -> calls(discovery, READ) == 1);
      discovery.send(call(discovery, READ, 0), whole(list(2, true, line(second, "active"))));
      Peers.await("the first is gone", () -> rig.node.listedServerCount() == 1);
      reaches(rig, second);
      avoids(rig, first);
    }
  }

  @Test
  void aLineWhoseAddressCannotBeReadKeepsNothingElseBack() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> calls(discovery, FOLLOW) == 1);
      int watch = call(discovery, FOLLOW, 0);
      String unreadable = line(first, "active").replace("127.0.0.1:", "somewhere:");
      String unknown =
          "{\"id\":\"s-x\",\"addr\":\"nowhere\",\"zone\":\"a\",\"kind\":\"box\",\"state\":\"active\"}";
      discovery.send(
          watch, Peers.chunk(list(2, true, unreadable, unknown, line(second, "active")) + "\n"));
      Peers.await("the list", () -> rig.node.listedServerCount() == 2);
      reaches(rig, second);
      reaches(rig, first);
      assertEquals(1, calls(discovery, FOLLOW));
    }
  }

  private static Function<String, String> answers(Function<String, String> calls) {
    return line -> {
      String answer = line.startsWith("GET ") ? calls.apply(line) : null;
      return answer == null || answer.isEmpty() ? null : answer;
    };
  }
}
