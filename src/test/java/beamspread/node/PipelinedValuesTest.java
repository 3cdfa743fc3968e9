package beamspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import beamspread.node.PausingServer.Piece;
import beamspread.node.client.ClientConnections;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Clients that send many commands at once, and more while values are on their way, before cache
 * servers whose large values are whole, slow, reset, silent or too long: each write that has run is
 * answered, answers come in order, and no attempt is told more time than its client has.
 *
 * <p>The long run: {@code mvn test -Dtest=PipelinedValuesTest -Dseeds=20 -Dseed=1000}, in parts
 * that stay within the limit on a test's time.
 */
class PipelinedValuesTest {
  private static final long FIRST_SEED = Long.getLong("seed", 760);
  private static final int SEEDS = Integer.getInteger("seeds", 3);
  private static final int SERVERS = 6;
  private static final int CLIENTS = 12;
  private static final int BATCHES = 5;
  private static final int MAX_COMMANDS = 8;
  private static final int SMALLEST_LARGE_VALUE = 70_000;
  private static final int LARGEST_VALUE = 1 << 20;

  /** The slack of the pages on the time that an attempt is told, and the test's own delay. */
  private static final long TOLD_SLACK_MILLIS = 150;

  private record Sent(long atNanos, int deadlineMillis) {}

  /** One run. */
  private static final class Play {
    final long seed;
    final Map<String, Sent> sent = new ConcurrentHashMap<>();
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    final Queue<String> faults = new ConcurrentLinkedQueue<>();
    final Queue<String> unanswered = new ConcurrentLinkedQueue<>();
    final AtomicInteger answers = new AtomicInteger();
    final AtomicInteger wholeValues = new AtomicInteger();

    Play(long seed) {
      this.seed = seed;
    }

    List<Piece> answer(String line) {
      String id = Peers.flagValue(line, 'O');
      checkTime(line, id);
      SplittableRandom random = new SplittableRandom(seed * 31 + id.hashCode());
      if (line.startsWith("ms")) {
        runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        return List.of(new Piece(random.nextInt(300), Peers.successReply(line)));
      }
      return line.startsWith("mg key-L")
          ? largeValue(id, random)
          : List.of(new Piece(random.nextInt(150), Peers.successReply(line)));
    }

    private void checkTime(String line, String id) {
      Sent request = sent.get(id);
      String parameters = Peers.flagValue(line, 'P');
      long told = Long.parseLong(parameters.substring(parameters.indexOf("d=") + 2));
      long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - request.atNanos());
      if (told > request.deadlineMillis() - passed + TOLD_SLACK_MILLIS) {
        faults.add(id + " is told " + told + " ms after " + passed + " of " + request);
      }
    }

    private static List<Piece> largeValue(String id, SplittableRandom random) {
      int length = random.nextInt(SMALLEST_LARGE_VALUE, LARGEST_VALUE);
      String head = "VA " + length + " O" + id + " h1\r\n";
      String third = "v".repeat(length / 3);
      String rest = "v".repeat(length - length / 3);
      int kind = random.nextInt(100);
      if (kind < 40) {
        return List.of(new Piece(random.nextInt(50), head + third + rest + "\r\n"));
      }
      if (kind < 65) {
        return List.of(new Piece(0, head + third), new Piece(random.nextInt(600), rest + "\r\n"));
      }
      if (kind < 85) {
        return List.of(new Piece(0, head + third), new Piece(random.nextInt(400), ""), Piece.RESET);
      }
      return kind < 95
          ? List.of(new Piece(0, head + third), new Piece(random.nextInt(300), rest + "more\r\n"))
          : List.of(new Piece(0, head + third), Piece.NEVER);
    }

    Void client(InetSocketAddress node, int number) throws Exception {
      SplittableRandom random = new SplittableRandom(seed * 1000 + number);
      for (int batch = 0; batch < BATCHES; batch++) {
        try (Peers.Client client = new Peers.Client(node)) {
          List<String> owed = new ArrayList<>();
          String prefix = number + "-" + batch + "-";
          send(client, random, prefix + "a", owed);
          if (random.nextInt(3) > 0) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(200));
            send(client, random, prefix + "b", owed);
          }
          readAnswers(client, owed);
          unanswered.addAll(owed);
        }
      }
      return null;
    }

    private void send(
        Peers.Client client, SplittableRandom random, String prefix, List<String> owed) {
      StringBuilder commands = new StringBuilder();
      int count = 1 + random.nextInt(MAX_COMMANDS);
      for (int i = 0; i < count; i++) {
        int deadline = 1000 + random.nextInt(2000);
        int kind = random.nextInt(3);
        String id = (kind == 0 ? "L" : kind == 1 ? "w" : "s") + prefix + i;
        commands.append(
            kind == 1
                ? "ms key-%s 5 O%s Pc=put,d=%d\r\nworld\r\n".formatted(id, id, deadline)
                : "mg key-%s v O%s Pc=read,d=%d\r\n".formatted(id, id, deadline));
        sent.put(id, new Sent(System.nanoTime(), deadline));
        owed.add(id);
      }
      try {
        client.send(commands.toString());
      } catch (IOException e) {
        // The connection has ended within a value before: nothing of this was taken.
      }
    }

    /** Reads answers in the order of their commands, up to the last or the connection's end. */
    private void readAnswers(Peers.Client client, List<String> owed) throws IOException {
      while (!owed.isEmpty()) {
        String id = owed.get(0);
        String line = client.readLine();
        if (line == null) {
          return;
        }
        if (line.startsWith("VA ")) {
          int length = Integer.parseInt(line.split(" ")[1]);
          byte[] value = client.readBytes(length);
          if (value.length < length || client.readLine() == null) {
            owed.remove(0);
            return;
          }
          wholeValues.incrementAndGet();
        }
        boolean own = line.contains(" O" + id + " ") || line.endsWith(" O" + id);
        if (!own && !line.startsWith("SERVER_ERROR")) {
          faults.add("in place of the answer to " + id + ": " + line);
          return;
        }
        answers.incrementAndGet();
        owed.remove(0);
      }
    }

    void check() {
      for (String id : unanswered) {
        if (runs.containsKey(id)) {
          faults.add(id + " has run, and its connection ended with no answer to it");
        }
      }
      runs.forEach(
          (id, count) -> {
            if (count.get() > 1) {
              faults.add(id + " has run " + count + " times");
            }
          });
    }
  }

  @Test
  void everyWriteThatHasRunIsAnsweredWhateverBecomesOfTheValuesBeforeIt() throws Exception {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      Play play = new Play(seed);
      play(play);
      play.check();
      System.out.printf(
          "seed %d: %d requests, %d answers, %d values, %d writes run, %d without an answer%n",
          seed,
          play.sent.size(),
          play.answers.get(),
          play.wholeValues.get(),
          play.runs.size(),
          play.unanswered.size());
      assertThat(play.faults).as("seed %d", seed).isEmpty();
      assertThat(play.wholeValues.get()).as("seed %d", seed).isPositive();
      assertThat(play.runs).as("seed %d", seed).isNotEmpty();
    }
  }

  private static void play(Play play) throws Exception {
    List<PausingServer> servers = new ArrayList<>();
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(new PausingServer("s-" + i, play::answer));
      addresses.add(new InetSocketAddress("127.0.0.1", servers.get(i).port()));
    }
    ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
    try (Peers.Rig rig = new Peers.Rig(ClientConnections.Limits.defaults(50), 256, addresses)) {
      List<Future<Void>> playing = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        playing.add(clients.submit(() -> play.client(rig.address, number)));
      }
      for (Future<Void> client : playing) {
        client.get(3, TimeUnit.MINUTES);
      }
    } finally {
      clients.shutdownNow();
      for (PausingServer server : servers) {
        server.close();
      }
    }
  }
}
