package beamspread.model;

import java.util.Map;

/**
 * What a balancer has learnt that takes seconds to learn, and that one which takes over from it
 * under load can't wait for. Rates are a second and of this balancer alone.
 *
 * @param warmRate answers of a warm server of unit weight
 * @param answerRate answers of all servers
 * @param requestRate requests of clients
 * @param shares the part of its keys that each server is offered, by its number
 */
public record Learnt(
    double warmRate, double answerRate, double requestRate, Map<Long, Double> shares) {}
