package beamspread.model;

/**
 * The end of one attempt.
 *
 * @param requestId the id of its request
 * @param attempt its number, counted from 0 in the order of sending
 * @param server the id of the server that it was sent to
 * @param result how it ended
 * @param elapsedSeconds seconds since it was sent
 * @param requestEnded whether the request has ended with it
 * @param note the cache status that the server reported
 * @param load the server's load report; null if there is none
 */
public record Outcome(
    String requestId,
    int attempt,
    long server,
    Result result,
    double elapsedSeconds,
    boolean requestEnded,
    Note note,
    LoadReport load) {

  /** Returns whether the server is at fault; an error that reports a miss is the origin's. */
  public boolean blamesServer() {
    return result == Result.TIMEOUT
        || result == Result.FULL
        || (result == Result.ERROR && note == Note.NONE);
  }

  /** Results of an attempt or a probe. */
  public enum Result {
    OK(false, true),
    ERROR(false, true),
    FULL(true, true),
    TIMEOUT(false, false),
    CONNECT_FAILED(true, false),
    RESET(false, false),
    CANCELLED(false, false),
    /** The answer was malformed or belonged to another request. */
    SPOILT(false, true),
    MOOT(true, false),
    NOT_STORED(true, true);

    private final boolean provesNotRun;
    private final boolean fromServer;

    Result(boolean provesNotRun, boolean fromServer) {
      this.provesNotRun = provesNotRun;
      this.fromServer = fromServer;
    }

    /** Returns whether the server itself gave this result. */
    public boolean isFromServer() {
      return fromServer;
    }

    /** Returns whether the connection failed, so that the server may be down. */
    public boolean isConnectionFailure() {
      return this == CONNECT_FAILED || this == RESET;
    }

    /** Returns whether this result proves that the attempt did not run. */
    public boolean provesNotRun() {
      return provesNotRun;
    }
  }

  /** Cache status that a server reports with an answer. */
  public enum Note {
    NONE,
    HIT,
    MISS,
    MISS_PENDING;

    /** Returns whether the cache had to fetch from the origin. */
    public boolean isMiss() {
      return this == MISS || this == MISS_PENDING;
    }
  }
}
