package beamspread.model;

import java.util.Map;

/**
 * State that a balancer learns within seconds, handed over to its successor, which would otherwise
 * lack it while under load. Rates are per second at this balancer only.
 *
 * @param warmRate answers of a warm server of unit weight
 * @param answerRate answers of all servers
 * @param requestRate requests of clients
 * @param keyShares the share of its keys that each server gets, by server id
 */
public record LearnedState(
    double warmRate, double answerRate, double requestRate, Map<Long, Double> keyShares) {}
