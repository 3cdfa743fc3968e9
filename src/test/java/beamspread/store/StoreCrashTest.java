package beamspread.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Kills a store's process outright, again and again, under writes whose clients try again until
 * they are told. {@code -Dstore.kills=300} for many, {@code -Dstore.seed=N} for one that failed.
 */
class StoreCrashTest {
  private static final int KILLS = Integer.getInteger("store.kills", 12);

  private final long seed = Long.getLong("store.seed", 20261201L);
  private final SplittableRandom random = new SplittableRandom(seed);
  private final Map<String, Long> confirmed = new HashMap<>();

  /** Writes that have no answer yet, by id: their line. */
  private final Map<String, String> open = new TreeMap<>();

  private final Map<String, Set<String>> idsOfKey = new HashMap<>();
  private int ids;

  private String next() {
    String id = "id" + ids++;
    String key = "key" + random.nextInt(20);
    idsOfKey.computeIfAbsent(key, unused -> new HashSet<>()).add(id);
    String line = id + " " + key + " " + id;
    open.put(id, line);
    return line;
  }

  /** Lets a process live until so many answers have come, kills it, and takes in what it said. */
  private void live(Path file, int answers) throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                StoreProcess.class.getName(),
                file.toString())
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    try (BufferedReader out = process.inputReader(StandardCharsets.UTF_8);
        Writer in = process.outputWriter(StandardCharsets.UTF_8)) {
      assertThat(out.readLine()).as("seed " + seed).isEqualTo("ready");
      for (String line : List.copyOf(open.values())) {
        in.write(line + " again\n");
      }
      for (int i = 0; i < 60; i++) {
        in.write(next() + "\n");
      }
      in.flush();
      for (int i = 0; i < answers; i++) {
        take(out.readLine());
      }
      process.destroyForcibly().waitFor();
      for (String line = out.readLine(); line != null; line = out.readLine()) {
        if (line.split(" ").length == 3) {
          take(line);
        }
      }
    } catch (IOException e) {
      // The pipe to it has broken, as it was killed.
      assertThat(process.isAlive()).as("seed " + seed + ": " + e).isFalse();
    }
  }

  private void take(String line) {
    String[] words = line.split(" ");
    assertThat(words[1]).as(line + ", seed " + seed).isEqualTo("STORED");
    Long before = confirmed.put(words[0], Long.valueOf(words[2]));
    assertThat(before).as("told once, " + line + ", seed " + seed).isNull();
    open.remove(words[0]);
  }

  @Test
  @Timeout(240)
  void eachConfirmedSheetIsThereOnceAndNoneTwice(@TempDir Path folder) throws Exception {
    System.out.println("store.kills " + KILLS + ", store.seed " + seed);
    Path file = folder.resolve("sheets.db");
    for (int kill = 0; kill < KILLS; kill++) {
      live(file, random.nextInt(60));
    }
    try (SqliteSheets sheets =
        new SqliteSheets(file, new IdWindow(3_600_000), System::currentTimeMillis)) {
      assertThat(confirmed).as("seed " + seed).isNotEmpty();
      Set<Long> receipts = new HashSet<>(confirmed.values());
      assertThat(receipts).as("a receipt each, seed " + seed).hasSize(confirmed.size());
      // Those without an answer may be stored or not; a last retry by the rules settles each.
      List<Write> retries = new ArrayList<>();
      for (String line : open.values()) {
        String[] words = line.split(" ");
        byte[] value = words[2].getBytes(StandardCharsets.UTF_8);
        retries.add(new Write(words[0], true, words[1], value, 0));
      }
      for (Write.Answer answer : sheets.commit(retries)) {
        assertThat(answer.fate()).as("seed " + seed).isEqualTo(Write.Fate.STORED);
        assertThat(receipts.add(answer.receipt())).as("a receipt each, seed " + seed).isTrue();
      }
      assertThat(receipts).as("nothing else was stored, seed " + seed).hasSize(ids);
      for (Map.Entry<String, Set<String>> key : idsOfKey.entrySet()) {
        Sheets.Sheet sheet = sheets.read(key.getKey()).orElseThrow();
        assertThat(sheet.version())
            .as(key.getKey() + " carries each write once, seed " + seed)
            .isEqualTo(key.getValue().size());
      }
      for (Map.Entry<String, Long> one : confirmed.entrySet()) {
        Write retry = new Write(one.getKey(), true, "other", new byte[0], 0);
        assertThat(sheets.commit(List.of(retry)).get(0).receipt())
            .as(one.getKey() + ", seed " + seed)
            .isEqualTo(one.getValue());
      }
      assertThat(sheets.read("other")).as("no retry has an effect").isEmpty();
    }
  }
}
