package beamspread.lab;

/** What clients ask, one thing after the other in the order of time. */
public interface Demand {
  /**
   * One thing that a client wants.
   *
   * @param at nanoseconds from the beginning of the run
   * @param key the number of the key that it is about
   * @param write whether it writes
   */
  record Ask(long at, int key, boolean write) {}

  /** The next one; null if there is none. */
  Ask next();
}
