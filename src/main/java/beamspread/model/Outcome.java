package beamspread.model;

/**
 * How one attempt ended.
 *
 * @param requestId the request it belonged to
 * @param attempt its number, counted from 0 in the order of sending
 * @param server where it was sent
 * @param result how it ended
 * @param elapsed seconds since it was sent
 * @param ended whether the request is over
 * @param note what the server says about its cache
 * @param load the server's load report, null if none came along
 */
public record Outcome(
    String requestId,
    int attempt,
    long server,
    Result result,
    double elapsed,
    boolean ended,
    Note note,
    LoadReport load) {

  /** Whether the server itself is to blame; an error that names a miss is the origin's. */
  public boolean blamesServer() {
    return result == Result.TIMEOUT
        || result == Result.FULL
        || (result == Result.ERROR && note == Note.NONE);
  }

  /** How an attempt, or a probe, can end. */
  public enum Result {
    OK(false, true),
    ERROR(false, true),
    FULL(true, true),
    TIMEOUT(false, false),
    CONNECT_FAILED(true, false),
    RESET(false, false),
    CANCELLED(false, false),
    /** It answered with what cannot be read, or with another request's answer. */
    SPOILT(false, true),
    MOOT(true, false),
    NOT_STORED(true, true);

    private final boolean provesNotRun;
    private final boolean fromServer;

    Result(boolean provesNotRun, boolean fromServer) {
      this.provesNotRun = provesNotRun;
      this.fromServer = fromServer;
    }

    /** Whether the server itself answered so. */
    public boolean fromServer() {
      return fromServer;
    }

    /** Whether there was no server at the other end. */
    public boolean unreachable() {
      return this == CONNECT_FAILED || this == RESET;
    }

    /** Whether this ending proves that the attempt was never carried out. */
    public boolean provesNotRun() {
      return provesNotRun;
    }
  }

  /** What a server says about its cache. */
  public enum Note {
    NONE,
    HIT,
    MISS,
    MISS_PENDING;

    /** Whether the cache had to ask the origin. */
    public boolean missed() {
      return this == MISS || this == MISS_PENDING;
    }
  }
}
