package beamspread.fleet;

/** An agent that gave no answer, so that nobody knows what it runs. */
public record Unreachable(String agent, String reason) {}
