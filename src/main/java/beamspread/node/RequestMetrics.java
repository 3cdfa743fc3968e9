package beamspread.node;

import beamspread.maintenance.RequestCounters;
import beamspread.maintenance.Tally;
import beamspread.model.Outcome;
import beamspread.model.Request;
import beamspread.model.Settings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts what becomes of requests: always since the start, and in each second where somebody asked
 * for a tally.
 */
final class RequestMetrics {
  private final RequestCounters figures;

  /** The time in which an answer is wanted, in seconds, by class. */
  private final Map<String, Double> aims = new HashMap<>();

  /** Null where nobody asked for it. */
  private Tally tally;

  RequestMetrics(List<Settings.ServiceClass> classes) {
    figures = new RequestCounters(classes.stream().map(Settings.ServiceClass::name).toList());
    classes.forEach(type -> aims.put(type.name(), type.aim()));
  }

  RequestCounters figures() {
    return figures;
  }

  /** Counts in each second from now on; returns what gives its lines. */
  Tally beginTally() {
    tally = new Tally();
    return tally;
  }

  void taken(Request request) {
    if (tally != null) {
      tally.requestAccepted(request.write());
    }
  }

  void attemptBegins(RequestAttempt attempt) {
    if (tally != null) {
      tally.attemptSent(attempt.number == 0, attempt.request.age());
    }
  }

  void attemptWritten() {
    figures.recordDispatch();
  }

  void attemptEnded(Outcome outcome, Request request) {
    if (tally != null) {
      tally.attemptEnded(outcome, request.write());
    }
  }

  /** A request is served: its answer begins to go to the client. */
  void served(OpenRequest open) {
    Request request = open.command.request;
    if (tally != null) {
      double aim = aims.getOrDefault(request.serviceClass(), Double.POSITIVE_INFINITY);
      tally.requestServed(request.write(), open.age() > aim);
    }
  }

  /** A request ends unserved. */
  void notServed(OpenRequest open, RequestCounters.Ending reply) {
    if (tally != null && reply == RequestCounters.Ending.OVERLOAD) {
      tally.requestRefused(open.attempts.isEmpty());
    } else if (tally != null) {
      tally.requestFailed();
    }
    replied(open.command.request.serviceClass(), reply);
  }

  /** A request is refused before the decision module hears of it. */
  void refusedEarly(Request request) {
    if (tally != null) {
      tally.requestRefused(true);
    }
    replied(request.serviceClass(), RequestCounters.Ending.OVERLOAD);
  }

  void replied(String serviceClass, RequestCounters.Ending reply) {
    figures.recordReply(serviceClass, reply);
  }

  void clientGone() {
    if (tally != null) {
      tally.clientDisconnected();
    }
  }
}
