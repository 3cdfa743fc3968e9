package beamspread.chaos.members;

/** One process that takes part in membership, whatever its way. Times are nanoseconds. */
public interface Member {
  /** When {@link #run} is to be called next. */
  long due();

  /** Does what is due. */
  void run(long now);

  /** A datagram has come from that member's address. */
  void received(long now, int from, byte[] datagram);

  /** It ends on purpose. */
  void leave(long now);

  /** Whether it takes that member for here. */
  boolean here(int number);

  /** The same at members that know the same. */
  int digest();

  /** What a member does to its world. */
  interface Surroundings {
    /** Sends a datagram. */
    void send(int to, byte[] datagram);

    /** It judges that a member is gone, or that it is here again. */
    void judged(int number, boolean here);
  }

  /** Makes the member of a number, at each start of it. */
  interface Maker {
    /**
     * @param start which start of this number it is, from 0
     */
    Member make(int number, int start, long now, Surroundings surroundings);
  }
}
