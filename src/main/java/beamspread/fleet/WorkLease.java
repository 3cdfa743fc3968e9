package beamspread.fleet;

import beamspread.lease.FencingToken;

/** What work on a fleet runs under. */
public interface WorkLease {
  /** For fleets without leases: whoever asks may work, held apart by the agents alone. */
  WorkLease NONE = of(null);

  /** Work under a token that somebody else keeps for as long as it lasts; null for none. */
  static WorkLease of(FencingToken token) {
    return new WorkLease() {
      @Override
      public FencingToken token() {
        return token;
      }

      @Override
      public boolean held() {
        return true;
      }
    };
  }

  /** What is shown with each call; null for nothing. */
  FencingToken token();

  /** Whether anything may still be begun. */
  boolean held();
}
