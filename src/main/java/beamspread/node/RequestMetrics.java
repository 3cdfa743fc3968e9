package beamspread.node;

import beamspread.maintenance.Figures;
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
  private final Figures figures;

  /** The aim of each class, in seconds. */
  private final Map<String, Double> aimSecondsByClass = new HashMap<>();

  /** Null unless a tally is requested. */
  private Tally tally;

  RequestMetrics(List<Settings.ServiceClass> classes) {
    figures = new Figures(classes.stream().map(Settings.ServiceClass::name).toList());
    classes.forEach(serviceClass -> aimSecondsByClass.put(serviceClass.name(), serviceClass.aim()));
  }

  Figures figures() {
    return figures;
  }

  /** Starts to count per second; returns the tally that produces the log lines. */
  Tally startTally() {
    tally = new Tally();
    return tally;
  }

  void received(Request request) {
    if (tally != null) {
      tally.taken(request.write());
    }
  }

  void attemptStarted(RequestAttempt attempt) {
    if (tally != null) {
      tally.sent(attempt.number == 0, attempt.request.ageSeconds());
    }
  }

  void attemptWritten() {
    figures.dispatched();
  }

  void attemptEnded(Outcome outcome, Request request) {
    if (tally != null) {
      tally.ended(outcome, request.write());
    }
  }

  /** Records that a request is served: its answer begins to be written to the client. */
  void served(OpenRequest openRequest) {
    Request request = openRequest.command.request;
    if (tally != null) {
      double aim = aimSecondsByClass.getOrDefault(request.serviceClass(), Double.POSITIVE_INFINITY);
      tally.served(request.write(), openRequest.ageSeconds() > aim);
    }
  }

  /** Records that a request ends without being served. */
  void notServed(OpenRequest openRequest, Figures.Reply reply) {
    if (tally != null && reply == Figures.Reply.OVERLOAD) {
      tally.refused(openRequest.attempts.isEmpty());
    } else if (tally != null) {
      tally.failed();
    }
    replied(openRequest.command.request.serviceClass(), reply);
  }

  /** Records a request that is refused before it reaches the decision module. */
  void refusedEarly(Request request) {
    if (tally != null) {
      tally.refused(true);
    }
    replied(request.serviceClass(), Figures.Reply.OVERLOAD);
  }

  void replied(String serviceClass, Figures.Reply reply) {
    figures.replied(serviceClass, reply);
  }

  void clientDisconnected() {
    if (tally != null) {
      tally.gone();
    }
  }
}
