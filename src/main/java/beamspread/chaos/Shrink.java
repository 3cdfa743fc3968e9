package beamspread.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Looks for the fewest faults that still bring a breach about (delta debugging, Zeller 2002), by
 * playing again with some left out. Processes are not played the same twice, so what is found is a
 * schedule that broke once more, not a proof that nothing less would.
 */
public final class Shrink {
  private final Predicate<List<Fault>> breaks;
  private int triesLeft;

  /**
   * A search.
   *
   * @param breaks whether these faults alone bring it about
   * @param tries most plays
   */
  public Shrink(Predicate<List<Fault>> breaks, int tries) {
    this.breaks = breaks;
    this.triesLeft = tries;
  }

  /** The fewest found; all of them if nothing less broke. */
  public List<Fault> of(List<Fault> faults) {
    List<Fault> kept = List.copyOf(faults);
    int parts = 2;
    while (kept.size() > 1 && triesLeft > 0) {
      List<Fault> fewer = fewer(kept, parts);
      if (fewer != null) {
        kept = fewer;
        parts = Math.max(2, parts - 1);
      } else if (parts >= kept.size()) {
        return kept;
      } else {
        parts = Math.min(kept.size(), parts * 2);
      }
    }
    return kept;
  }

  /** All but one of so many parts, if that breaks as well; null if none does. */
  private List<Fault> fewer(List<Fault> all, int parts) {
    for (int part = 0; part < parts && triesLeft > 0; part++) {
      List<Fault> rest = new ArrayList<>();
      for (int i = 0; i < all.size(); i++) {
        if ((long) i * parts / all.size() != part) {
          rest.add(all.get(i));
        }
      }
      triesLeft--;
      if (rest.size() < all.size() && breaks.test(rest)) {
        return rest;
      }
    }
    return null;
  }
}
