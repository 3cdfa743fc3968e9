package beamspread.cli;

import beamspread.fleet.AgentCallException;
import beamspread.fleet.AgentClient;
import beamspread.fleet.Fleet;
import beamspread.fleet.api.Api;
import beamspread.fleet.api.Json;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Follows what happens at all agents. */
@Command(
    name = "watch",
    description = "Prints what happens at all agents, as it happens.",
    mixinStandardHelpOptions = true)
final class WatchCommand extends FleetAction {
  private static final long AGAIN_MILLIS = 1000;

  @Option(
      names = "--for",
      paramLabel = "SECONDS",
      defaultValue = "0",
      description = "ends after so long (default: on Ctrl-C)")
  private long seconds;

  @Option(names = "--kept", description = "begins with what the agents still remember")
  private boolean kept;

  @Override
  int run(Fleet fleet) throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    long until =
        seconds == 0 ? Long.MAX_VALUE : System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    for (AgentClient client : fleet.clients().values()) {
      Thread thread = new Thread(() -> follow(client, until), "watch-" + client.name());
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      if (seconds == 0) {
        thread.join();
      } else {
        thread.join(Math.max(1, (until - System.nanoTime()) / 1_000_000));
      }
    }
    return 0;
  }

  private void follow(AgentClient client, long until) {
    long since = kept ? 0 : Long.MAX_VALUE;
    boolean away = false;
    while (System.nanoTime() < until) {
      try (BufferedReader lines =
          new BufferedReader(new InputStreamReader(client.events(since), StandardCharsets.UTF_8))) {
        if (away) {
          say("agent " + client.name() + " is back");
          away = false;
        }
        for (String line = lines.readLine();
            line != null && System.nanoTime() < until;
            line = lines.readLine()) {
          if (!line.isBlank()) {
            Api.Event event = Json.read(line, Api.Event.class);
            since = event.seq();
            say(
                json()
                    ? line
                    : time(event.atMs())
                        + "  "
                        + event.agent()
                        + "/"
                        + event.instance()
                        + "  "
                        + event.type()
                        + "  "
                        + event.text());
          }
        }
      } catch (AgentCallException | IOException | Json.BadJsonException e) {
        if (!away) {
          err().println(e.getMessage());
          err().flush();
        }
      }
      away = true;
      // Its numbers begin anew with its next start: all that it then remembers is new.
      since = 0;
      try {
        TimeUnit.MILLISECONDS.sleep(AGAIN_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized void say(String line) {
    out().println(line.replaceAll("\\p{Cntrl}", " "));
    out().flush();
  }
}
