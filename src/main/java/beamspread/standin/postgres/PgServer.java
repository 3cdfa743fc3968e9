package beamspread.standin.postgres;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;

/** The stand-in's listener, its database and the faults that are due. */
public final class PgServer implements AutoCloseable {
  private static final int MOST_SESSIONS = 64;

  final String user;
  final String password;
  final Connection database;

  /** Held by the session whose transaction runs. */
  final ReentrantLock transaction = new ReentrantLock(true);

  private final ServerSocket listener;
  private final Map<Integer, PgSession> sessions = new ConcurrentHashMap<>();
  private final List<PgFault> faults = new CopyOnWriteArrayList<>();
  private final AtomicInteger nextId = new AtomicInteger(1);
  private volatile boolean stalling;
  private volatile boolean refusing;

  /** A server on a free port of the loopback address that lets this user in. */
  public PgServer(String user, String password) throws IOException, SQLException {
    this.user = user;
    this.password = password;
    database = DriverManager.getConnection("jdbc:sqlite::memory:");
    listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    Thread accepting = new Thread(this::accept, "postgres-stand-in");
    accepting.setDaemon(true);
    accepting.start();
  }

  /** Where it listens, as JDBC names it. */
  public String url() {
    return "jdbc:postgresql://127.0.0.1:" + listener.getLocalPort() + "/record";
  }

  /** Has this fault befall the first statement that it fits. */
  public void inject(PgFault fault) {
    stalling |= fault.kind() == PgFault.Kind.STALL;
    faults.add(fault);
  }

  /** Whether all injected faults have happened. */
  public boolean faultsDone() {
    return faults.isEmpty();
  }

  /** Ends all stalls. */
  public void release() {
    stalling = false;
  }

  /** Breaks all connections now; while {@code down}, new ones break as well. */
  public void cut(boolean down) {
    refusing = down;
    sessions.values().forEach(PgSession::breakOff);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        if (refusing || sessions.size() >= MOST_SESSIONS) {
          socket.close();
          continue;
        }
        int id = nextId.getAndIncrement();
        PgSession session = new PgSession(this, socket, id);
        sessions.put(id, session);
        Thread thread =
            new Thread(
                () -> {
                  try {
                    session.run();
                  } finally {
                    sessions.remove(id);
                  }
                },
                "postgres-stand-in-" + id);
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        // Closed, or a client that went at once.
      }
    }
  }

  void cancel(int id, int secret) {
    PgSession session = sessions.get(id);
    if (session != null && session.secret == secret) {
      session.cancel();
    }
  }

  boolean stalling() {
    return stalling;
  }

  /** The fault that befalls this statement, taken off the list; null if none does. */
  PgFault fault(String sql) {
    for (PgFault fault : faults) {
      if (fault.fits().test(sql) && faults.remove(fault)) {
        return fault;
      }
    }
    return null;
  }

  @Override
  public void close() throws IOException, SQLException {
    stalling = false;
    listener.close();
    sessions.values().forEach(PgSession::breakOff);
    transaction.lock();
    try {
      database.close();
    } finally {
      transaction.unlock();
    }
  }
}
