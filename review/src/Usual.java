import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The usual clients of one node: each asks one request at a time on a connection that it keeps. A
 * request whose connection the node closes between two requests is sent once more on a new one.
 */
final class Usual {
  /** After a request's time, how long its answer only earns nothing. */
  private static final long GRACE_MILLIS = 500;

  /** By how much each time limit is longer on sockets. */
  private static final long SLACK_MILLIS = 50;

  final AtomicInteger served = new AtomicInteger();
  final AtomicInteger refused = new AtomicInteger();
  final AtomicInteger failed = new AtomicInteger();
  final AtomicInteger lost = new AtomicInteger();
  private final AtomicLong numbers = new AtomicLong();
  private final AtomicInteger running = new AtomicInteger();
  private final Record record;
  private final int port;
  private final String mark;
  private volatile boolean ended;

  /** Whether each request comes on a new connection. */
  boolean newConnections;

  /** Whether new connections may be shut unread, as while idle clients fill the descriptors. */
  boolean mayBeShut;

  final AtomicInteger shut = new AtomicInteger();

  /**
   * Creates clients that have asked nothing yet.
   *
   * @param mark begins the ids of their requests
   */
  Usual(Record record, int port, String mark) {
    this.record = record;
    this.port = port;
    this.mark = mark;
  }

  void start(int clients, long pauseMillis) {
    for (int i = 0; i < clients; i++) {
      running.incrementAndGet();
      Threads.start(
          () -> {
            try {
              ask(pauseMillis);
            } finally {
              running.decrementAndGet();
            }
          });
    }
  }

  private void ask(long pauseMillis) {
    Client client = null;
    while (!ended) {
      long number = numbers.incrementAndGet();
      boolean write = number % 15 == 0;
      int deadline = write ? 1000 : 2000;
      String id = mark + number;
      String key = "square-" + Case.between(1, 300);
      String text =
          write ? Client.write(key, id, deadline, "sheet") : Client.read(key, id, deadline);
      for (int turn = 0; turn < 2; turn++) {
        boolean fresh = client == null;
        boolean sent = false;
        try {
          client = fresh ? new Client(port) : client;
          client.socket.setSoTimeout((int) (deadline + GRACE_MILLIS + SLACK_MILLIS));
          client.send(text);
          sent = true;
          String answer = client.answer();
          if (answer != null) {
            count(answer);
            break;
          }
          client = drop(client);
          if (fresh) {
            shutUnread(id, "a new connection was closed with no answer");
            break;
          }
        } catch (SocketTimeoutException e) {
          client = drop(client);
          if (sent) {
            lose(id, "no answer " + (GRACE_MILLIS + SLACK_MILLIS) + " ms after its time of " + deadline);
          } else {
            record.line("usual client: no connection for " + id);
          }
          break;
        } catch (IOException e) {
          client = drop(client);
          if (fresh && sent) {
            shutUnread(id, "a new connection broke with no answer: " + e.getMessage());
            break;
          }
        }
      }
      client = newConnections ? drop(client) : client;
      Threads.sleep(pauseMillis);
    }
    drop(client);
  }

  private static Client drop(Client client) {
    if (client != null) {
      Threads.reset(client.socket);
    }
    return null;
  }

  private void count(String answer) {
    if (answer.startsWith("VA ") || answer.startsWith("HD ")) {
      served.incrementAndGet();
    } else if (answer.startsWith("SERVER_ERROR busy")) {
      refused.incrementAndGet();
    } else {
      failed.incrementAndGet();
    }
  }

  private void shutUnread(String id, String why) {
    if (mayBeShut) {
      shut.incrementAndGet();
    } else {
      lose(id, why);
    }
  }

  private void lose(String id, String why) {
    lost.incrementAndGet();
    record.line("LOST " + id + ": " + why);
  }

  /** Ends the clients and waits for the answers that are due. */
  void end() {
    ended = true;
    for (int i = 0; i < 50 && running.get() > 0; i++) {
      Threads.sleep(100);
    }
  }

  @Override
  public String toString() {
    return "usual clients: served %d, refused %d, failed %d, shut unread %d, lost %d"
        .formatted(served.get(), refused.get(), failed.get(), shut.get(), lost.get());
  }
}
