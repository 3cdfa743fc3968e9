package beamspread.node;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/** All connections of clients: which are idle, and which must give way. */
final class ClientConnections {
  private final LinkedHashSet<ClientHandler> open = new LinkedHashSet<>();

  /** Those between requests, longest idle first. */
  private final LinkedHashSet<ClientHandler> idle = new LinkedHashSet<>();

  private boolean draining;
  private Runnable whenEmpty;

  void opened(ClientHandler client) {
    open.add(client);
    idle(client);
  }

  void busy(ClientHandler client) {
    idle.remove(client);
  }

  void idle(ClientHandler client) {
    if (!client.isIdle()) {
      return;
    }
    if (draining) {
      client.close();
    } else {
      idle.add(client);
    }
  }

  void closed(ClientHandler client) {
    open.remove(client);
    idle.remove(client);
    if (draining && open.isEmpty()) {
      whenEmpty.run();
    }
  }

  int size() {
    return open.size();
  }

  /** Closes the connection that has been idle longest; false if none is idle. */
  boolean closeIdlest() {
    Iterator<ClientHandler> first = idle.iterator();
    if (!first.hasNext()) {
      return false;
    }
    ClientHandler client = first.next();
    first.remove();
    client.close();
    return true;
  }

  void closeStuck(long now) {
    for (ClientHandler client : List.copyOf(open)) {
      client.closeIfStuck(now);
    }
  }

  /** From now on closes each connection as it falls idle; runs the step when none is left. */
  void drain(Runnable then) {
    draining = true;
    whenEmpty = then;
    for (ClientHandler client : new ArrayList<>(idle)) {
      client.close();
    }
    if (open.isEmpty()) {
      then.run();
    }
  }
}
