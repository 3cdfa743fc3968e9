package beamspread.store;

/**
 * One write of a sheet.
 *
 * @param id what tells it from all others, and is the same when a client tries again
 * @param repeat whether the client says that it tries again
 * @param key the sheet's key
 * @param value its bytes; not to be changed
 * @param deadline when nobody waits for the answer any more, on the clock of the desk
 */
public record Write(String id, boolean repeat, String key, byte[] value, long deadline) {

  /** The end of a write, told once. */
  public enum Fate {
    /** It is durable, by this try or an earlier one; the receipt tells. */
    STORED,
    /** It has not been carried out by this try and won't be: trying again does no harm. */
    REFUSED,
    /** It may have been carried out, or may yet be. */
    UNKNOWN,
    /** Its id is older than what is remembered: whether it was carried out can't be told. */
    TOO_OLD
  }

  /**
   * What a client is told.
   *
   * @param receipt the write's number, 0 where it is not stored
   * @param reason why, in words, empty where it is stored
   */
  public record Answer(Fate fate, long receipt, String reason) {
    static Answer stored(long receipt) {
      return new Answer(Fate.STORED, receipt, "");
    }

    static Answer refused(String reason) {
      return new Answer(Fate.REFUSED, 0, reason);
    }

    static Answer unknown(String reason) {
      return new Answer(Fate.UNKNOWN, 0, reason);
    }

    static Answer tooOld(String reason) {
      return new Answer(Fate.TOO_OLD, 0, reason);
    }
  }
}
