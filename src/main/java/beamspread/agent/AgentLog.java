package beamspread.agent;

import java.nio.file.Path;

/**
 * Where an agent's own log goes.
 *
 * @param json one JSON object a line, else lines for people
 * @param file null for standard error
 * @param megabytes how long a file may grow before the next one is begun
 * @param files how many full ones are kept
 */
public record AgentLog(boolean json, Path file, int megabytes, int files) {}
