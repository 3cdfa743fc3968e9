package beamspread.agent;

import beamspread.fleet.api.Api;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The last events, and who listens to the next ones. Used on the agent's own thread only. */
final class EventLog {
  private static final int KEPT = 1000;
  private static final int MOST_LISTENERS = 64;

  private final String agent;
  private final ArrayDeque<Api.Event> events = new ArrayDeque<>();
  private final List<Consumer<Api.Event>> listeners = new ArrayList<>();
  private long seq;

  EventLog(String agent) {
    this.agent = agent;
  }

  void add(long atMillis, String type, String instance, String text) {
    Api.Event event = new Api.Event(++seq, atMillis, agent, type, instance, text);
    events.add(event);
    if (events.size() > KEPT) {
      events.poll();
    }
    List.copyOf(listeners).forEach(listener -> listener.accept(event));
  }

  /** Tells the kept events after this number, and then each new one; false if too many listen. */
  boolean listen(long since, Consumer<Api.Event> listener) {
    if (listeners.size() >= MOST_LISTENERS) {
      return false;
    }
    for (Api.Event event : events) {
      if (event.seq() > since) {
        listener.accept(event);
      }
    }
    listeners.add(listener);
    return true;
  }

  void leave(Consumer<Api.Event> listener) {
    listeners.remove(listener);
  }
}
