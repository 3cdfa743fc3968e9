package beamspread.agent;

import beamspread.fleet.api.Json;

/**
 * What a step found before it acted. Written before the first signal, so that after a crash of the
 * agent the effect can be told from what is found then.
 *
 * @param pid the process that it acts on, 0 for none
 * @param readings how often the node had read its configuration
 * @param digest SHA-256 of the file that the node should read
 */
record Intent(long pid, long startTicks, String boot, long readings, String digest) {

  static Intent on(ProcessId process, long readings, String digest) {
    return process == null
        ? new Intent(0, 0, "", readings, digest)
        : new Intent(process.pid(), process.startTicks(), process.boot(), readings, digest);
  }

  /** Whether it was this process that the step acted on. */
  boolean concerns(ProcessId process) {
    return process != null && process.equals(new ProcessId(pid, startTicks, boot));
  }

  static Intent of(String json) throws Json.BadJsonException {
    return Json.read(json, Intent.class);
  }
}
