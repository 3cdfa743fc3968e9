package beamspread.pool;

/** One connection, from the moment it is asked for until its end is told. */
final class Link {
  final long id;

  /** Of the address that it leads to: the server's count of addresses so far. */
  final int generation;

  final long askedAt;

  /** How long it is kept without use, and at all: a little less than the settings say. */
  final long idleNanos;

  final long ageNanos;

  boolean up;

  /** Whether nothing more is written here, and it ends once nothing is awaited. */
  boolean retiring;

  /** Whether it was told to close. */
  boolean closing;

  /** Whether what has come is still being read: more than an answer may be in it. */
  boolean reading;

  /** Whether an answer comes in parts: nothing is written behind it. */
  boolean streaming;

  /** Whether anything was ever answered here. */
  boolean answered;

  long openedAt;
  long heardAt;
  long usedAt;

  /** When the oldest attempt under way was written, or the one before it answered. */
  long waitsSince;

  /** Attempts under way, those that somebody still waits for, and those that must not be lost. */
  int load;

  int awaited;
  int guarded;

  Link(long id, int generation, long now, long idleNanos, long ageNanos) {
    this.id = id;
    this.generation = generation;
    this.askedAt = now;
    this.idleNanos = idleNanos;
    this.ageNanos = ageNanos;
  }

  /** Whether something may ever be written here again. */
  boolean usable() {
    return up && !retiring && !closing;
  }

  /** Whether something may be written here now, by what is under way. */
  boolean writable(int depth) {
    return usable() && !reading && !streaming && load < depth;
  }

  /** Whether nothing is under way here. */
  boolean free() {
    return usable() && !reading && load == 0;
  }

  /** Whether it is free as soon as all that has come is read. */
  boolean freeSoon() {
    return usable() && reading && load == 0;
  }

  /**
   * Whether it has outlived its time, or rested for as long as others leave it to. The server may
   * close it at any moment, or soon.
   */
  boolean due(long now, long restNanos) {
    return now - usedAt >= Math.min(restNanos, idleNanos)
        || (ageNanos > 0 && now - openedAt >= ageNanos);
  }

  /** Whether its oldest attempt has had no answer for so long. */
  boolean silentFor(long now, long nanos) {
    return load > 0 && !streaming && now - waitsSince > nanos;
  }
}
