package beamspread.agent;

import beamspread.fleet.config.TomlFaults;
import beamspread.loop.EventLoopThreads;
import beamspread.record.FleetRecord;
import beamspread.record.JdbcRecord;
import beamspread.record.RecordException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** An agent: puts its parts together, and ends them in order. Instances outlive it. */
public final class Agent implements AutoCloseable {
  private static final long RECORD_MILLIS = 3000;

  private static final String LOOP_THREAD = "agent-io";

  private final EventLoopThreads loopThreads =
      new EventLoopThreads(LOOP_THREAD, Agent::onLoopEnded);
  private final MultiThreadIoEventLoopGroup group;
  private final AgentCore core;
  private final AgentServer server;
  private final RecordKeeper keeper;
  private final FileChannel lock;
  private final String url;

  private Agent(AgentConfig config, Consumer<AgentCore.Point> probe)
      throws IOException, RecordException, InterruptedException {
    Files.createDirectories(config.folder());
    lock = lock(config.folder().resolve("lock"));
    group = new MultiThreadIoEventLoopGroup(1, loopThreads, NioIoHandler.newFactory());
    FleetRecord record = null;
    try {
      record = open(config);
      EventLoop loop = group.next();
      Path startsFile = config.folder().resolve("starts");
      long seen = starts(startsFile);
      long recorded = record.starts();
      long starts = Math.max(seen, recorded) + 1;
      record.started(starts);
      Files.writeString(startsFile.resolveSibling("starts.new"), starts + "\n");
      Files.move(
          startsFile.resolveSibling("starts.new"),
          startsFile,
          StandardCopyOption.ATOMIC_MOVE,
          StandardCopyOption.REPLACE_EXISTING);
      var memory = new AgentCore.Memory(record.leases(), record.instances(), record.openSteps());
      keeper = new RecordKeeper(record, config.record().keep());
      record = null;
      core =
          new AgentCore(config, keeper, new ProcessTable(), new StatusClient(loop), starts, probe);
      server = new AgentServer(core, loop, config.api());
      core.start(memory, recorded < seen);
      url = server.listen(config.api());
      Files.writeString(config.folder().resolve("url"), url + "\n");
    } catch (IOException | RecordException | RuntimeException | InterruptedException e) {
      if (record != null) {
        record.close();
      }
      abandon();
      throw e;
    }
  }

  /** Returns whether an agent can't go on without this thread, which nothing starts anew. */
  public static boolean isEssential(Thread thread) {
    String name = thread.getName();
    return name.startsWith(LOOP_THREAD) || name.equals(RecordKeeper.THREAD);
  }

  /** Leaves it to the thread's handler of uncaught errors what becomes of the process. */
  private static void onLoopEnded() {
    throw new IllegalStateException("the event loop has ended by an error");
  }

  /** What was begun before the start failed is ended. */
  private void abandon() throws IOException {
    if (core != null) {
      core.close();
    }
    if (keeper != null) {
      keeper.close();
    }
    loopThreads.expectEnd();
    group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS);
    lock.close();
  }

  /**
   * Starts an agent.
   *
   * @throws TomlFaults with all that is wrong with its file
   * @throws IOException if it can't listen, or its folder is in use
   * @throws RecordException if its record can't be used
   */
  public static Agent start(Path file)
      throws TomlFaults, IOException, RecordException, InterruptedException {
    return start(file, point -> {});
  }

  static Agent start(Path file, Consumer<AgentCore.Point> probe)
      throws TomlFaults, IOException, RecordException, InterruptedException {
    return new Agent(AgentConfigReader.read(file), probe);
  }

  /** Checks a file without starting anything; returns how many instances it names. */
  public static int check(Path file) throws TomlFaults {
    return AgentConfigReader.read(file).instances().size();
  }

  /** Where an agent with this file writes its log. */
  public static AgentLog log(Path file) throws TomlFaults {
    return AgentConfigReader.read(file).log();
  }

  private static FileChannel lock(Path file) throws IOException {
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock held = null;
    try {
      held = channel.tryLock();
    } catch (java.nio.channels.OverlappingFileLockException e) {
      // Held within this process.
    }
    if (held == null) {
      channel.close();
      throw new IOException(file.getParent() + " is in use by another agent");
    }
    return channel;
  }

  private static long starts(Path file) {
    try {
      return Long.parseLong(Files.readString(file).strip());
    } catch (IOException | NumberFormatException e) {
      return 0;
    }
  }

  private static FleetRecord open(AgentConfig config) throws RecordException, IOException {
    AgentConfig.Record record = config.record();
    if (record.url() == null) {
      Files.createDirectories(record.file().toAbsolutePath().getParent());
      return JdbcRecord.sqlite(record.file(), config.name());
    }
    return JdbcRecord.postgres(
        record.url(),
        record.user(),
        Files.readString(record.passwordFile()).strip(),
        config.name(),
        RECORD_MILLIS);
  }

  /** Kills the process that a pid file of an agent that has ended names, if it still runs. */
  public static void stopLeftBehind(Path pidFile) {
    ProcessTable processes = new ProcessTable();
    ProcessId left = processes.adopt(pidFile);
    if (left != null) {
      processes.signal(left, "KILL");
    }
  }

  /** Where it is reached. */
  public String url() {
    return url;
  }

  /** Ends the agent; instances run on. */
  @Override
  public void close() {
    server.close();
    core.close();
    keeper.close();
    loopThreads.expectEnd();
    // A short quiet time: what the closing of connections sets off still releases their buffers.
    group.shutdownGracefully(30, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    try {
      lock.close();
    } catch (IOException e) {
      // The process's end releases it.
    }
  }
}
