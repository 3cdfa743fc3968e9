package beamspread.fleet;

import beamspread.fleet.api.Api;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** All agents of an inventory, asked at the same time. */
public final class Fleet implements AutoCloseable {
  private static final int MOST_AT_ONCE = 64;

  private final Inventory inventory;
  private final Map<String, AgentClient> clients = new LinkedHashMap<>();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "fleet");
            thread.setDaemon(true);
            return thread;
          });
  private final ExecutorService calls =
      Executors.newFixedThreadPool(
          MOST_AT_ONCE,
          task -> {
            Thread thread = new Thread(task, "fleet-call");
            thread.setDaemon(true);
            return thread;
          });

  /** A fleet of these agents; none is asked yet. */
  public Fleet(Inventory inventory) throws IOException {
    this.inventory = inventory;
    for (Inventory.AgentEntry agent : inventory.agents()) {
      clients.put(agent.name(), new AgentClient(agent, inventory.answerNanos(), threads));
    }
  }

  /** The inventory. */
  public Inventory inventory() {
    return inventory;
  }

  /** The agents' clients by name. */
  public Map<String, AgentClient> clients() {
    return clients;
  }

  /** What an agent is asked. */
  public interface Question<T> {
    /** Asks one agent. */
    T ask(AgentClient agent) throws AgentCallException;
  }

  /**
   * The answers of all agents that gave one, and why the others did not.
   *
   * @param answers by agent
   * @param failures by agent
   */
  public record Answers<T>(Map<String, T> answers, Map<String, AgentCallException> failures) {
    /** The agents that gave no answer. */
    public List<Unreachable> unreachable() {
      List<Unreachable> away = new ArrayList<>();
      failures.forEach((agent, why) -> away.add(new Unreachable(agent, why.getMessage())));
      return away;
    }
  }

  /** Asks all agents that a selection concerns. */
  public <T> Answers<T> ask(Selection selection, Question<T> question) {
    Map<String, Future<T>> asked = new LinkedHashMap<>();
    clients.forEach(
        (name, client) -> {
          if (selection.concerns(name)) {
            Callable<T> call = () -> question.ask(client);
            asked.put(name, calls.submit(call));
          }
        });
    Map<String, T> answers = new LinkedHashMap<>();
    Map<String, AgentCallException> failures = new TreeMap<>();
    asked.forEach(
        (name, answer) -> {
          try {
            answers.put(name, answer.get());
          } catch (ExecutionException e) {
            failures.put(
                name,
                e.getCause() instanceof AgentCallException failure
                    ? failure
                    : new AgentCallException(String.valueOf(e.getCause()), true, null));
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            failures.put(name, new AgentCallException("interrupted", true, null));
          }
        });
    return new Answers<>(answers, failures);
  }

  /** All instances of the agents that answer. */
  public Answers<List<Api.InstanceView>> instances(Selection selection) {
    return ask(selection, AgentClient::instances);
  }

  /** What the agents have on record of an operation; having nothing is no failure. */
  public Answers<Api.OperationView> operation(String id) {
    Answers<Api.OperationView> views = ask(Selection.all(), client -> client.operation(id, 0, 0));
    views.failures().values().removeIf(failure -> failure.is("unknown_operation"));
    return views;
  }

  /** The values of all answers as one list. */
  public static <T> List<T> flat(Answers<List<T>> answers) {
    List<T> all = new ArrayList<>();
    answers.answers().values().forEach(all::addAll);
    return all;
  }

  ExecutorService calls() {
    return calls;
  }

  @Override
  public void close() {
    calls.shutdownNow();
    threads.shutdownNow();
  }
}
