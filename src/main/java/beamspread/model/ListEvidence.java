package beamspread.model;

/** What is known of the service that has the list of servers, and of the list with it. */
public enum ListEvidence {
  /** This process begins with a list that it was given. */
  STARTED,
  /** The service has told all that there was to tell. */
  CONFIRMED,
  /** The service could be reached and gave no list that can be used. */
  REACHED,
  /** The service could not be reached. */
  UNREACHABLE,
  /** The service is asked at another address from now on. */
  MOVED
}
