package beamspread.model;

/**
 * A client's request as it arrives.
 *
 * @param id its unique id
 * @param key the requested key; null if it has none
 * @param serviceClass the name of its class
 * @param tenant its tenant; null if there are no tenants
 * @param budget seconds until the client stops waiting for this attempt
 * @param work its expected work in seconds of a standard core; 0 if unknown
 * @param size the value's size in bytes; 0 if unknown
 * @param repeat whether the client marked it as a repeat
 * @param write whether it changes the value
 */
public record Request(
    String id,
    String key,
    String serviceClass,
    String tenant,
    double budget,
    double work,
    double size,
    boolean repeat,
    boolean write) {

  /** Returns a copy with another key. */
  public Request withKey(String newKey) {
    return new Request(id, newKey, serviceClass, tenant, budget, work, size, repeat, write);
  }

  /** Returns a copy with another budget, in seconds. */
  public Request withBudget(double seconds) {
    return new Request(id, key, serviceClass, tenant, seconds, work, size, repeat, write);
  }
}
