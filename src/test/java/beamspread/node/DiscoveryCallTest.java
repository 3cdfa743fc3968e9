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

/** Calls to discovery that fail or return unusual lists, and the list that the node then uses. */
@ExtendWith(LeakCheck.class)
class DiscoveryCallTest {
  private static final String READ_CALL = "GET /catalog/members HTTP";
  private static final String WATCH_CALL = "GET /catalog/members?follow=1";

  private static Settings settings(boolean onDemand) {
    return Peers.settings(
        new Settings.Limits(6, true, true, false, false, false, 1, 2, 60, 32, 20000),
        onDemand,
        List.of(Peers.service("read", Settings.Effect.SAFE)));
  }

  private static Peers.Rig rig(boolean onDemand, Peers.Server discovery, Peers.Server... servers)
      throws Exception {
    Settings settings = settings(onDemand);
    return new Peers.Rig(settings, Peers.poolSettings(settings, 256), discovery, servers);
  }

  private static long callCount(Peers.Server discovery, String prefix) {
    return discovery.lines.stream().filter(line -> line.startsWith(prefix)).count();
  }

  /** Returns the index, among all received lines, of the nth call that starts with the prefix. */
  private static int lineIndexOfCall(Peers.Server discovery, String prefix, int occurrence) {
    int found = -1;
    for (int i = 0; i < discovery.lines.size(); i++) {
      if (discovery.lines.get(i).startsWith(prefix) && ++found == occurrence) {
        return i;
      }
    }
    throw new AssertionError("no call " + occurrence + " for " + prefix);
  }

  /** Returns a full list or a change with these entries. */
  private static String list(int version, boolean full, String... entries) {
    return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}"
        .formatted(version, full, String.join(",", entries));
  }

  private static String entry(Peers.Server server, String state) {
    return "{\"id\":\"s-%d\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"box\",\"state\":\"%s\"}"
        .formatted(server.address().getPort(), server.address().getPort(), state);
  }

  private static String fullAnswer(String json) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
  }

  /** Reads different keys until the server receives a request. */
  private static void assertServerIsUsed(Peers.Rig rig, Peers.Server server) throws Exception {
    int before = server.lines.size();
    try (Peers.Client client = rig.client()) {
      for (int i = 0; i < 1000 && server.lines.size() == before; i++) {
        String id = Long.toString(System.nanoTime());
        client.read(id);
        assertEquals("VA 5 O" + id, client.readLine());
        assertEquals("hello", client.readLine());
      }
    }
    assertTrue(server.lines.size() > before, "the server received no request");
  }

  /** Reads many different keys and checks that the server receives no request. */
  private static void assertServerIsNotUsed(Peers.Rig rig, Peers.Server server) throws Exception {
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
  void acceptsIndentedListInAnyChunks() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> callCount(discovery, WATCH_CALL) == 1);
      String indented =
          list(2, true, entry(first, "active"), entry(second, "active"))
              .replace("{", "{\n  ")
              .replace(",", ",\r\n  ")
              .replace("}", "\n}\n");
      int watchIndex = lineIndexOfCall(discovery, WATCH_CALL, 0);
      for (int i = 0; i < indented.length(); i += 7) {
        discovery.send(
            watchIndex, Peers.chunk(indented.substring(i, Math.min(indented.length(), i + 7))));
      }
      Peers.await("both are known", () -> rig.node.listedServerCount() == 2);
      assertServerIsUsed(rig, second);
      // Two changes on one line, the second of which ends in the next chunk.
      String change =
          list(3, false, entry(first, "leaving")) + list(4, false, entry(first, "left"));
      discovery.send(watchIndex, Peers.chunk(change.substring(0, change.length() - 4)));
      discovery.send(watchIndex, Peers.chunk(change.substring(change.length() - 4)));
      Peers.await("the first has left", () -> rig.node.listedServerCount() == 1);
      assertServerIsNotUsed(rig, first);
      assertEquals(1, discovery.lines.stream().filter(line -> line.startsWith("GET")).count());
    }
  }

  @Test
  void ignoresIncompleteListAtEndOfWatch() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> callCount(discovery, WATCH_CALL) == 1);
      String incompleteList = list(2, true, entry(second, "active"));
      discovery.send(
          lineIndexOfCall(discovery, WATCH_CALL, 0),
          Peers.chunk(incompleteList.substring(0, incompleteList.length() - 1)) + "0\r\n\r\n");
      Peers.await("the next watch", () -> callCount(discovery, WATCH_CALL) == 2);
      assertTrue(
          discovery.lines.get(lineIndexOfCall(discovery, WATCH_CALL, 1)).contains("since=1 "),
          "resumes from the known version");
      assertServerIsUsed(rig, first);
      assertServerIsNotUsed(rig, second);
    }
  }

  @Test
  void restartsWatchAfterEmptyLineWithinList() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> callCount(discovery, WATCH_CALL) == 1);
      int watchIndex = lineIndexOfCall(discovery, WATCH_CALL, 0);
      discovery.send(watchIndex, Peers.chunk("{\"version\":2,\n\n"));
      Peers.await("the next watch", () -> callCount(discovery, WATCH_CALL) == 2);
      discovery.send(
          lineIndexOfCall(discovery, WATCH_CALL, 1),
          Peers.chunk(list(3, true, entry(second, "active")) + "\n"));
      assertServerIsUsed(rig, second);
    }
  }

  /** The connection stays open, and nothing more is received. */
  @Test
  void restartsSilentWatchInTime() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> callCount(discovery, WATCH_CALL) == 1);
      long silentSince = System.nanoTime();
      discovery.send(lineIndexOfCall(discovery, WATCH_CALL, 0), Peers.chunk("\n"));
      Peers.await("the next watch", () -> callCount(discovery, WATCH_CALL) == 2);
      long millis = (System.nanoTime() - silentSince) / 1_000_000;
      // Missed changes take effect 6 s after the silence began. About 2 s are left, which is enough
      // for a connect that times out.
      assertTrue(millis < 4_200, millis + " ms");
      assertTrue(millis > 2_500, "heartbeats come every 2 s: " + millis + " ms");
      assertEquals(1, rig.node.listedServerCount(), "the list stays until discovery answers");
    }
  }

  /** A call is accepted and never answered; changes missed meanwhile take effect 6 s later. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void unansweredCallLeavesTimeForTwoMore(boolean onDemand) throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(line -> null);
        Peers.Rig rig = rig(onDemand, discovery, first)) {
      Peers.await("a call", () -> callCount(discovery, WATCH_CALL) == 1);
      long calledAt = System.nanoTime();
      Peers.await("the next", () -> callCount(discovery, WATCH_CALL) == 2);
      long millis = (System.nanoTime() - calledAt) / 1_000_000;
      assertTrue(millis > 2_000, "discovery may queue a call for 2 s: " + millis + " ms");
      assertTrue(millis < 3_500, millis + " ms");
      assertEquals(1, rig.node.listedServerCount(), "the list stays until discovery answers");
    }
  }

  @Test
  void stallOfNodeIsNotSilenceOfDiscovery() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> callCount(discovery, WATCH_CALL) == 1);
      int watchIndex = lineIndexOfCall(discovery, WATCH_CALL, 0);
      discovery.send(watchIndex, Peers.chunk("\n"));
      try (EventLoopHold hold = new EventLoopHold(rig.node, 5_500_000_000L)) {
        discovery.send(watchIndex, Peers.chunk("\n"));
        hold.release();
      }
      discovery.send(
          watchIndex,
          Peers.chunk(list(2, true, entry(first, "active"), entry(second, "active")) + "\n"));
      Peers.await("the list", () -> rig.node.listedServerCount() == 2);
      assertEquals(1, callCount(discovery, WATCH_CALL));
    }
  }

  /** Sends a change on a watch for the full list, so that the node reads the full list. */
  private static int sendChangeInsteadOfFullList(Peers.Server discovery, String change)
      throws Exception {
    Peers.await("a watch", () -> callCount(discovery, WATCH_CALL) == 1);
    discovery.send(lineIndexOfCall(discovery, WATCH_CALL, 0), Peers.chunk("nonsense\n"));
    Peers.await("a watch for the full list", () -> callCount(discovery, WATCH_CALL) == 2);
    int watchIndex = lineIndexOfCall(discovery, WATCH_CALL, 1);
    assertTrue(discovery.lines.get(watchIndex).startsWith(WATCH_CALL + " "), "without a version");
    discovery.send(watchIndex, Peers.chunk(change + "\n"));
    Peers.await("a call for the full list", () -> callCount(discovery, READ_CALL) == 1);
    return watchIndex;
  }

  @Test
  void rereadsFullListOlderThanLastChange() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server third = new Peers.Server(Peers::successReply);
        Peers.Server discovery =
            new Peers.Server(
                answers(line -> line.startsWith(READ_CALL) ? "" : Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first, second)) {
      int watchIndex =
          sendChangeInsteadOfFullList(discovery, list(5, false, entry(third, "active")));
      discovery.send(watchIndex, Peers.chunk(list(7, false, entry(second, "left")) + "\n"));
      Peers.await("the second has left", () -> rig.node.listedServerCount() == 2);
      String[] both = {entry(first, "active"), entry(second, "active")};
      discovery.send(lineIndexOfCall(discovery, READ_CALL, 0), fullAnswer(list(5, true, both)));
      Peers.await("the retry for the full list", () -> callCount(discovery, READ_CALL) == 2);
      assertServerIsNotUsed(rig, second);
      discovery.send(
          lineIndexOfCall(discovery, READ_CALL, 1),
          fullAnswer(list(7, true, entry(first, "active"))));
      Peers.await("the list is applied", () -> rig.node.listedServerCount() == 1);
      assertServerIsUsed(rig, first);
      assertEquals(2, callCount(discovery, WATCH_CALL));
    }
  }

  @Test
  void failedCallForFullListDoesNotFailWatch() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery =
            new Peers.Server(
                answers(line -> line.startsWith(READ_CALL) ? "" : Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(true, discovery, first)) {
      sendChangeInsteadOfFullList(discovery, list(5, false, entry(second, "active")));
      discovery.send(
          lineIndexOfCall(discovery, READ_CALL, 0), "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
      Peers.await("the retry for the full list", () -> callCount(discovery, READ_CALL) == 2);
      discovery.send(
          lineIndexOfCall(discovery, READ_CALL, 1),
          fullAnswer(list(6, true, entry(second, "active"))));
      Peers.await("the list is applied", () -> rig.node.listedServerCount() == 1);
      assertEquals(2, callCount(discovery, WATCH_CALL));
    }
  }

  @Test
  void rereadsMalformedFullList() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery =
            new Peers.Server(
                answers(line -> line.startsWith(READ_CALL) ? "" : Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      sendChangeInsteadOfFullList(discovery, list(5, false, entry(second, "active")));
      discovery.send(
          lineIndexOfCall(discovery, READ_CALL, 0), fullAnswer("{\"version\":6,\"full\":true}"));
      Peers.await("the retry for the full list", () -> callCount(discovery, READ_CALL) == 2);
      assertEquals(2, rig.node.listedServerCount(), "the last valid list stays until then");
      discovery.send(
          lineIndexOfCall(discovery, READ_CALL, 1),
          fullAnswer(list(6, true, entry(second, "active"))));
      Peers.await("the list is applied", () -> rig.node.listedServerCount() == 1);
      assertEquals(2, callCount(discovery, WATCH_CALL));
    }
  }

  /** After a restart of discovery versions start from 1 again. */
  @Test
  void readsFullListAfterChangeWithLowerVersion() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery =
            new Peers.Server(
                answers(line -> line.startsWith(READ_CALL) ? "" : Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> callCount(discovery, WATCH_CALL) == 1);
      int watchIndex = lineIndexOfCall(discovery, WATCH_CALL, 0);
      discovery.send(watchIndex, Peers.chunk(list(9, false, entry(first, "active")) + "\n"));
      discovery.send(watchIndex, Peers.chunk(list(2, false, entry(second, "active")) + "\n"));
      Peers.await("a call for the full list", () -> callCount(discovery, READ_CALL) == 1);
      discovery.send(
          lineIndexOfCall(discovery, READ_CALL, 0),
          fullAnswer(list(2, true, entry(second, "active"))));
      Peers.await("the first is gone", () -> rig.node.listedServerCount() == 1);
      assertServerIsUsed(rig, second);
      assertServerIsNotUsed(rig, first);
    }
  }

  @Test
  void invalidAddressDoesNotBlockOtherEntries() throws Exception {
    try (Peers.Server first = new Peers.Server(Peers::successReply);
        Peers.Server second = new Peers.Server(Peers::successReply);
        Peers.Server discovery = new Peers.Server(answers(line -> Peers.WATCH_RESPONSE_HEAD));
        Peers.Rig rig = rig(false, discovery, first)) {
      Peers.await("a watch", () -> callCount(discovery, WATCH_CALL) == 1);
      int watchIndex = lineIndexOfCall(discovery, WATCH_CALL, 0);
      String unreadable = entry(first, "active").replace("127.0.0.1:", "somewhere:");
      String unknown =
          "{\"id\":\"s-x\",\"addr\":\"nowhere\",\"zone\":\"a\",\"kind\":\"box\",\"state\":\"active\"}";
      discovery.send(
          watchIndex,
          Peers.chunk(list(2, true, unreadable, unknown, entry(second, "active")) + "\n"));
      Peers.await("the list", () -> rig.node.listedServerCount() == 2);
      assertServerIsUsed(rig, second);
      assertServerIsUsed(rig, first);
      assertEquals(1, callCount(discovery, WATCH_CALL));
    }
  }

  private static Function<String, String> answers(Function<String, String> calls) {
    return line -> {
      String answer = line.startsWith("GET ") ? calls.apply(line) : null;
      return answer == null || answer.isEmpty() ? null : answer;
    };
  }
}
