package beamspread.model;

/** Evidence about discovery, from which the freshness of the list of servers follows. */
public enum ListEvidence {
  /** This process starts with a list that it was given. */
  STARTED,
  /** Discovery has delivered all changes up to now. */
  CONFIRMED,
  /** Discovery was reachable but gave no usable list. */
  REACHED,
  /** Discovery was not reachable at this time, which shows nothing of the time before. */
  UNREACHABLE,
  /** Discovery is called at another address from now on. */
  MOVED
}
