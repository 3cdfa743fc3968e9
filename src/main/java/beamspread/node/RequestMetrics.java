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
 * Counts the results of requests: in total since the start, and per second if a tally is requested.
 */
final class RequestMetrics {
  private final RequestCounters figures;

  /** The aim of each class, in seconds. */
  private final Map<String, Double> aimSecondsByClass = new HashMap<>();

  /** Null unless a tally is requested. */
  private Tally tally;

  RequestMetrics(List<Settings.ServiceClass> classes) {
    figures = new RequestCounters(classes.stream().map(Settings.ServiceClass::name).toList());
    classes.forEach(serviceClass -> aimSecondsByClass.put(serviceClass.name(), serviceClass.aim()));
  }

  RequestCounters figures() {
    return figures;
  }

  /** Starts to count per second; returns the tally that produces the log lines. */
  Tally startTally() {
    tally = new Tally();
    return tally;
  }

  void received(Request request) {
    if (tally != null) {
      tally.requestAccepted(request.write());
    }
  }

  void attemptStarted(RequestAttempt attempt) {
    if (tally != null) {
      tally.attemptSent(attempt.number == 0, attempt.request.ageSeconds());
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

  /** Records that a request is served: its answer begins to be written to the client. */
  void served(OpenRequest openRequest) {
    Request request = openRequest.command.request;
    if (tally != null) {
      double aim = aimSecondsByClass.getOrDefault(request.serviceClass(), Double.POSITIVE_INFINITY);
      tally.requestServed(request.write(), openRequest.ageSeconds() > aim);
    }
  }

  /** Records that a request ends without being served. */
  void notServed(OpenRequest openRequest, RequestCounters.Ending reply) {
    if (tally != null && reply == RequestCounters.Ending.OVERLOAD) {
      tally.requestRefused(openRequest.attempts.isEmpty());
    } else if (tally != null) {
      tally.requestFailed();
    }
    replied(openRequest.command.request.serviceClass(), reply);
  }

  /** Records a request that is refused before it reaches the decision module. */
  void refusedEarly(Request request) {
    if (tally != null) {
      tally.requestRefused(true);
    }
    replied(request.serviceClass(), RequestCounters.Ending.OVERLOAD);
  }

  void replied(String serviceClass, RequestCounters.Ending reply) {
    figures.recordReply(serviceClass, reply);
  }

  void clientDisconnected() {
    if (tally != null) {
      tally.clientDisconnected();
    }
  }
}
