package beamspread.node;

import beamspread.maintenance.RequestCounters;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that this node has received, each kept until it has its final answer and the
 * outcomes of all its attempts are reported. Runs on the event loop only.
 */
final class OpenRequests {
  private final RequestMetrics metrics;
  private final Map<String, OpenRequest> byId = new HashMap<>();

  /** Number of requests that have no final answer and whose clients are still connected. */
  private int unanswered;

  OpenRequests(RequestMetrics metrics) {
    this.metrics = metrics;
  }

  /** Returns the open request with this id; null if there is none. */
  OpenRequest get(String id) {
    return byId.get(id);
  }

  int count() {
    return byId.size();
  }

  int unanswered() {
    return unanswered;
  }

  /** Returns the number of attempts whose outcome is not reported yet. */
  int attemptsInFlight() {
    return byId.values().stream().mapToInt(request -> request.attemptsInFlight).sum();
  }

  /** Returns the attempts that wait for a connection. */
  List<RequestAttempt> unsentAttempts() {
    return byId.values().stream()
        .flatMap(request -> request.attempts.stream())
        .filter(attempt -> !attempt.isSettled() && !attempt.hasConnection())
        .toList();
  }

  void add(OpenRequest request) {
    byId.put(request.id(), request);
    unanswered++;
  }

  /** Marks a request as ended: it has its final answer, or its client has disconnected. */
  void markEnded(OpenRequest request) {
    request.ended = true;
    unanswered--;
  }

  /** Releases the buffers of an ended request, and removes it once it has no attempt in flight. */
  void removeIfComplete(OpenRequest request) {
    if (request.ended) {
      request.command.release();
      if (request.attemptsInFlight == 0 && byId.remove(request.id(), request)) {
        if (!request.keepsId) {
          request.idClaim.release();
        }
      }
    }
  }

  /** Gives the final answer, unless the request is null or has already ended. */
  void answer(OpenRequest request, RequestCounters.Ending reply, String line) {
    if (request != null && !request.ended) {
      markEnded(request);
      metrics.notServed(request, reply);
      request.slot.answerLine(line);
      removeIfComplete(request);
    }
  }

  void fail(OpenRequest request) {
    answer(request, RequestCounters.Ending.ERROR, "SERVER_ERROR failed");
  }

  void failAll() {
    List.copyOf(byId.values()).forEach(this::fail);
  }

  /** Fails the requests whose deadline has passed. */
  void failOverdue(long now) {
    for (OpenRequest request : List.copyOf(byId.values())) {
      if (now - request.deadlineNanos > 0) {
        fail(request);
      }
    }
  }
}
