package beamspread.store;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * A store in a process of its own, to be killed: reads lines {@code ID KEY VALUE [again]} and says
 * {@code ID FATE RECEIPT} once it may be told.
 */
final class StoreProcess {
  private static final long LONG = 30_000_000_000L;

  private StoreProcess() {}

  public static void main(String[] args) throws Exception {
    PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    Sheets sheets =
        new SqliteSheets(Path.of(args[0]), new IdWindow(3_600_000), System::currentTimeMillis);
    try (SheetStore store = new SheetStore(sheets, new WriteDesk.Limits(1000, 16, LONG));
        BufferedReader in =
            new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
      out.println("ready");
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        String[] words = line.split(" ");
        byte[] value = words[2].getBytes(StandardCharsets.UTF_8);
        store.write(
            new Write(words[0], words.length > 3, words[1], value, System.nanoTime() + LONG),
            told -> out.println(words[0] + " " + told.fate() + " " + told.receipt()));
      }
    }
  }
}
