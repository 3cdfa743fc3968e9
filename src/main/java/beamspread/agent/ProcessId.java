package beamspread.agent;

/**
 * A process, told apart from any other that ever has its number.
 *
 * @param pid its number, used again once it has ended
 * @param startTicks when it started, in clock ticks since the machine did (proc(5), stat, field
 *     22): unlike the time of day this is not moved by a clock that jumps
 * @param boot the machine's boot id
 */
record ProcessId(long pid, long startTicks, String boot) {}
