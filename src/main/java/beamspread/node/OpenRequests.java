package beamspread.node;

import beamspread.maintenance.RequestCounters;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that this node has taken, each until it has its final answer and the outcomes of all
 * its attempts are told. All of it runs on the event loop.
 */
final class OpenRequests {
  private final RequestMetrics metrics;
  private final Map<String, OpenRequest> byId = new HashMap<>();

  /** Requests that have no final answer, and whose clients are still there. */
  private int unanswered;

  OpenRequests(RequestMetrics metrics) {
    this.metrics = metrics;
  }

  /** The request of this id; null if none is open. */
  OpenRequest get(String id) {
    return byId.get(id);
  }

  int count() {
    return byId.size();
  }

  int unanswered() {
    return unanswered;
  }

  /** Attempts whose outcome is not told yet. */
  int attempts() {
    return byId.values().stream().mapToInt(request -> request.out).sum();
  }

  /** Attempts that wait for a connection. */
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

  /** The request has its final answer, or its client has gone. */
  void over(OpenRequest request) {
    request.ended = true;
    unanswered--;
  }

  /** Forgets what is over and has no attempt out. */
  void settle(OpenRequest request) {
    if (request.ended) {
      request.command.release();
      if (request.out == 0) {
        byId.remove(request.id(), request);
      }
    }
  }

  /** Gives the final answer, if it is not given and the request is open. */
  void end(OpenRequest request, RequestCounters.Ending reply, String answer) {
    if (request != null && !request.ended) {
      over(request);
      metrics.notServed(request, reply);
      request.slot.line(answer);
      settle(request);
    }
  }

  void fail(OpenRequest request) {
    end(request, RequestCounters.Ending.ERROR, "SERVER_ERROR failed");
  }

  void failAll() {
    List.copyOf(byId.values()).forEach(this::fail);
  }

  /** Answers those whose time is up. */
  void failOverdue(long now) {
    for (OpenRequest request : List.copyOf(byId.values())) {
      if (now - request.deadlineNanos > 0) {
        fail(request);
      }
    }
  }
}
