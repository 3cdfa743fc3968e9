package beamspread.lab;

/** What a client is told. */
public enum Answer {
  SERVED,
  REFUSED,
  FAILED,

  /** The node ended; whether the request was carried out is not known. */
  GONE
}
