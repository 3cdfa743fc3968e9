package beamspread.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class SimHostTest {
  private static final String LAUNCH =
      "{\"type\":\"LAUNCH\",\"i\":3,\"nonce64\":17,\"conf\":{\"discovery\":\"%s\",\"new\":1,"
          + "\"caps\":{\"attempts-cap\":3,\"cancel\":true},\"services\":[{\"name\":\"read\","
          + "\"effect\":\"retryable\",\"slo\":0.3,\"give-up\":1}]}}";
  private static final String LIST =
      "{\"type\":\"SYNC\",\"i\":3,\"form\":\"cached\",\"rev\":1,\"lines\":["
          + "{\"server\":4000000001,\"zone\":\"z\",\"machine\":\"m\",\"health\":\"ready\"}]}";
  private static final String REQUEST =
      "{\"type\":\"REQUEST\",\"i\":3,\"handle\":\"abc\",\"target-key\":\"k:1\","
          + "\"class\":\"read\",\"budget\":0.5}";

  private static String batch(int seq, double time, String... events) {
    return "{\"type\":\"BATCH\",\"time\":"
        + time
        + ",\"seq\":"
        + seq
        + "}\n"
        + String.join("\n", events)
        + (events.length > 0 ? "\n" : "")
        + "{\"type\":\"OVER_TO_YOU\"}\n";
  }

  private static List<String> run(String input) throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
    return out.toString(StandardCharsets.UTF_8).lines().toList();
  }

  private static String errorOf(String input) {
    return assertThrows(WireException.class, () -> run(input)).getMessage();
  }

  @Test
  void answersAnEmptyBatch() throws Exception {
    assertEquals(List.of("{\"type\":\"DONE\",\"seq\":1}"), run(batch(1, 8.4)));
  }

  @Test
  void sendsARequestToTheOnlyServer() throws Exception {
    List<String> lines =
        run(batch(1, 8.4, LAUNCH.formatted("push"), LIST) + batch(2, 8.5, REQUEST));
    assertEquals("{\"type\":\"DONE\",\"seq\":1}", lines.get(0));
    assertTrue(
        lines.contains("{\"type\":\"PASS_ON\",\"i\":3,\"handle\":\"abc\",\"server\":4000000001}"));
    assertEquals("{\"type\":\"DONE\",\"seq\":2}", lines.get(lines.size() - 1));
  }

  @Test
  void refusesWhenThereIsNoServer() throws Exception {
    String empty = "{\"type\":\"SYNC\",\"i\":3,\"form\":\"cached\",\"rev\":1,\"lines\":[]}";
    List<String> lines =
        run(batch(1, 8.4, LAUNCH.formatted("push"), empty) + batch(2, 8.5, REQUEST));
    assertTrue(lines.contains("{\"type\":\"BUSY\",\"i\":3,\"handle\":\"abc\"}"));
  }

  @Test
  void subscribesIfTheListIsNotPushed() throws Exception {
    List<String> lines =
        run(
            batch(1, 8.4, LAUNCH.formatted("ask"), LIST)
                + batch(2, 9.4, "{\"type\":\"DEADLINE_HIT\",\"i\":3,\"key-back\":0}"));
    assertTrue(lines.contains("{\"type\":\"SUBSCRIBE\",\"i\":3,\"active\":true}"));
  }

  @Test
  void ignoresEventsOfUnknownRequestsAndServers() throws Exception {
    List<String> lines =
        run(
            batch(1, 8.4, LAUNCH.formatted("push"), LIST)
                + batch(
                    2,
                    8.5,
                    "{\"type\":\"FINISHED\",\"i\":3,\"handle\":\"none\",\"trial\":0,"
                        + "\"server\":7,\"ending\":\"completed\",\"pressure\":{\"odd\":1}}",
                    "{\"type\":\"DROPPED\",\"i\":3,\"handle\":\"none\"}",
                    "{\"type\":\"DEADLINE_HIT\",\"i\":3,\"key-back\":99}",
                    "{\"type\":\"FLOWING\",\"i\":3,\"handle\":\"none\",\"server\":7}",
                    "{\"type\":\"HEALTH_RESULT\",\"i\":3,\"server\":7,\"ending\":\"completed\"}",
                    "{\"type\":\"WHISPER\",\"i\":3,\"by\":1,\"raw\":\"hi\"}"));
    assertEquals("{\"type\":\"DONE\",\"seq\":2}", lines.get(lines.size() - 1));
    assertEquals(2, lines.size());
  }

  @Test
  void namesTheLineOfInvalidInput() {
    assertEquals("line 1: not JSON", errorOf("{nonsense\n"));
    assertEquals("line 1: REQUEST message outside a batch", errorOf(REQUEST + "\n"));
    assertEquals("line 3: BATCH message out of order", errorOf(batch(2, 1) + batch(1, 2)));
    assertEquals("line 3: BATCH message out of order", errorOf(batch(2, 2) + batch(3, 1)));
    assertEquals(
        "line 1: BATCH message without field 'seq'", errorOf("{\"type\":\"BATCH\",\"time\":1}\n"));
    assertEquals("line 2: REQUEST message for unknown instance 3", errorOf(batch(1, 1, REQUEST)));
    assertEquals(
        "line 4: REQUEST message without field 'handle'",
        errorOf(
            batch(
                1,
                1,
                LAUNCH.formatted("push"),
                LIST,
                "{\"type\":\"REQUEST\",\"i\":3,\"budget\":1}")));
  }
}
