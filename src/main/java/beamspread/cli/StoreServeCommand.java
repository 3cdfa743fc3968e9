package beamspread.cli;

import beamspread.store.IdWindow;
import beamspread.store.SheetStore;
import beamspread.store.SqliteSheets;
import beamspread.store.StoreServer;
import beamspread.store.WriteDesk;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs a store until it is told to end. */
@Command(
    name = "serve",
    description = "Serves the sheets of a file of SQLite, made if it is not there, until SIGTERM.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread store serve sheets.db --port 11311",
      "  ./beamspread store serve sheets.db --window-s 86400 --batch 256",
      "",
      "Exit codes: 0 at its end, 1 if the file or the port can't be used, 2 for a wrong option."
    })
final class StoreServeCommand implements Callable<Integer> {
  private static final long STALL_NANOS = 1_000_000_000L;

  @Parameters(paramLabel = "FILE", description = "the sheets")
  private Path file;

  @Option(
      names = "--host",
      defaultValue = "127.0.0.1",
      description = "address to listen on (default: ${DEFAULT-VALUE})")
  private String host;

  @Option(
      names = "--port",
      defaultValue = "11311",
      description = "port to listen on, 0 for a free one (default: ${DEFAULT-VALUE})")
  private int port;

  @Option(
      names = "--window-s",
      defaultValue = "86400",
      description = "for how long ids of writes are remembered (default: ${DEFAULT-VALUE} s)")
  private long window;

  @Option(
      names = "--batch",
      defaultValue = "128",
      description = "writes in a transaction at most (default: ${DEFAULT-VALUE})")
  private int batch;

  @Option(
      names = "--queue",
      defaultValue = "1024",
      description = "writes that may wait for one (default: ${DEFAULT-VALUE})")
  private int queue;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Bounds.check(spec.commandLine(), "--port", port, 0, 65535);
    Bounds.check(spec.commandLine(), "--window-s", window, 1, 1L << 32);
    Bounds.check(spec.commandLine(), "--batch", batch, 1, Integer.MAX_VALUE);
    Bounds.check(spec.commandLine(), "--queue", queue, 1, Integer.MAX_VALUE);
    try (UntilTold until = new UntilTold();
        StoreServer server = server()) {
      String at = host + ":" + server.address().getPort();
      spec.commandLine().getOut().println("store listens on " + at);
      spec.commandLine().getOut().flush();
      until.await();
    }
    return 0;
  }

  private StoreServer server() throws Exception {
    SqliteSheets sheets =
        new SqliteSheets(file, new IdWindow(window * 1000), System::currentTimeMillis);
    SheetStore store = new SheetStore(sheets, new WriteDesk.Limits(queue, batch, STALL_NANOS));
    return new StoreServer(store, new InetSocketAddress(host, port));
  }
}
