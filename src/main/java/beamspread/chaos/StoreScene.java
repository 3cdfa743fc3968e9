package beamspread.chaos;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** A store in a process of its own, and writers that reach it over links. */
public final class StoreScene implements Scene {
  static final String STORE = "store";
  private static final int SHEETS = 3;
  private static final long READY_SECONDS = 60;
  private static final long RECOVERY_NANOS = 30_000_000_000L;

  private final int writers;
  private final List<String> command;
  private final List<SheetWriter> all = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private Program program;
  private Victim victim;
  private Stage stage;

  /** So many writers of a {@code store serve}. */
  public StoreScene(int writers) {
    this(writers, Program.operations(64, "store", "serve", "sheets.db", "--port"));
  }

  /** The same of another store, whose command is followed by its port. */
  StoreScene(int writers, List<String> command) {
    this.writers = writers;
    this.command = List.copyOf(command);
  }

  private static String writer(int number) {
    return "writer-" + (number + 1);
  }

  @Override
  public List<Network.Link> links() {
    return IntStream.range(0, writers)
        .mapToObj(number -> new Network.Link(writer(number), STORE))
        .toList();
  }

  @Override
  public List<String> processes() {
    return List.of(STORE);
  }

  @Override
  public void begin(Stage on) throws Exception {
    stage = on;
    int port = Ports.free();
    InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    List<String> words = new ArrayList<>(command);
    words.add(Integer.toString(port));
    program =
        new Program(STORE, words, Map.of(), on.folder(), () -> Ports.listens(at), on.history());
    Path folder = on.folder();
    victim =
        new ProgramVictim(
            program,
            List.of(
                folder.resolve("sheets.db"),
                folder.resolve("sheets.db-wal"),
                folder.resolve("sheets.db-shm")));
    program.start();
    program.awaitReady(READY_SECONDS);
    for (int i = 0; i < writers; i++) {
      String name = writer(i);
      SheetWriter writer =
          new SheetWriter(name, SHEETS, on.relays().stream(name, STORE, () -> at), on);
      Thread thread = new Thread(writer, name);
      thread.setDaemon(true);
      all.add(writer);
      threads.add(thread);
      thread.start();
    }
  }

  @Override
  public Victim victim(String process) {
    return victim;
  }

  @Override
  public void end() throws Exception {
    all.forEach(SheetWriter::stop);
    long until = System.nanoTime() + RECOVERY_NANOS;
    while (!all.stream().allMatch(SheetWriter::quiet) && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    for (int i = 0; i < all.size(); i++) {
      if (!all.get(i).quiet()) {
        stage.tell(History.What.SEEN, writer(i), "still waits to be told", "waits", true);
      }
      all.get(i).end();
      threads.get(i).join(RECOVERY_NANOS / 1_000_000);
      all.get(i).look();
    }
  }

  @Override
  public List<Breach> judge(List<History.Event> events) {
    List<Breach> breaches = new ArrayList<>(SheetsJudge.judge(events));
    for (History.Event event : events) {
      if (event.facts().containsKey("waits")) {
        breaches.add(
            new Breach(
                "no answer after healing",
                event.who() + " was told nothing for " + RECOVERY_NANOS / 1_000_000_000L + " s",
                event.atNanos() - RECOVERY_NANOS,
                event.atNanos(),
                Set.of(event.who(), STORE),
                Map.of()));
      }
    }
    return breaches;
  }

  @Override
  public void clear() throws Exception {
    all.forEach(SheetWriter::stop);
    all.forEach(SheetWriter::end);
    if (program != null) {
      program.kill();
    }
    for (Thread thread : threads) {
      thread.join(RECOVERY_NANOS / 1_000_000);
    }
  }
}
