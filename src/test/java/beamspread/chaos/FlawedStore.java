package beamspread.chaos;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * A store of a test's with a flaw, in a process of its own: {@code none}, {@code early} (tells that
 * something is stored before it is), {@code forgets-ids} (carries a retry out again), {@code
 * refuses-late} (says busy of what it has carried out).
 */
final class FlawedStore {
  private static final int MOST_WRITES = 100_000;

  /** How many of its newest writes {@code early} holds in memory alone, whenever it is killed. */
  private static final int WRITES_BEHIND = 16;

  private final String flaw;
  private final Path file;
  private final Map<String, String> sheets = new HashMap<>();
  private final Map<String, Long> receipts = new HashMap<>();
  private final ArrayDeque<String> unsaved = new ArrayDeque<>();
  private long last;

  private FlawedStore(String flaw, Path file) throws IOException {
    this.flaw = flaw;
    this.file = file;
    if (Files.exists(file)) {
      for (String line : Files.readAllLines(file)) {
        String[] words = line.split(" ");
        sheets.put(words[0], words[1]);
        receipts.put(words[2], ++last);
      }
    }
  }

  public static void main(String[] args) throws Exception {
    FlawedStore store = new FlawedStore(args[0], Path.of(args[1]));
    try (ServerSocket server =
        new ServerSocket(Integer.parseInt(args[2]), 50, InetAddress.getLoopbackAddress())) {
      while (store.last < MOST_WRITES) {
        Socket socket = server.accept();
        Thread thread = new Thread(() -> store.serve(socket));
        thread.setDaemon(true);
        thread.start();
      }
    }
  }

  private void serve(Socket socket) {
    try (socket;
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
      OutputStream out = socket.getOutputStream();
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        String answer = line.startsWith("ms ") ? write(line, in.readLine()) : read(line);
        out.write(answer.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      // Whoever asked has gone.
    }
  }

  private synchronized String read(String line) {
    String value = sheets.get(line.split(" ")[1]);
    return value == null ? "EN\r\n" : "VA " + value.length() + "\r\n" + value + "\r\n";
  }

  private synchronized String write(String line, String value) throws IOException {
    String[] words = line.split(" ");
    String id = line.replaceAll(".*,k=([^,]*).*", "$1");
    Long told = flaw.equals("forgets-ids") ? null : receipts.get(id);
    if (told == null) {
      told = ++last;
      receipts.put(id, told);
      sheets.put(words[1], value);
      unsaved.add(words[1] + " " + value + " " + id + "\n");
      if (unsaved.size() > (flaw.equals("early") ? WRITES_BEHIND : 0)) {
        Files.writeString(
            file, unsaved.remove(), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
      }
      if (flaw.equals("refuses-late") && last % 7 == 0) {
        return "SERVER_ERROR busy\r\n";
      }
    }
    return "HD " + words[3] + " c" + told + "\r\n";
  }
}
