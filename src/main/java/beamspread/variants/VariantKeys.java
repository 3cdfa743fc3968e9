package beamspread.variants;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Replaces keys by canonical keys at one node. A key is replaced only while the table that says so
 * is known to be valid; in any doubt it stays unchanged, which is always correct and only costs
 * hits. Not thread-safe.
 */
public final class VariantKeys {
  /** Maximum key length of the protocol, in bytes. */
  private static final int MAX_KEY_BYTES = 250;

  /** Replaces the class in an object's name; no key contains this character. */
  private static final char CLASS_PLACEHOLDER = ' ';

  private static final int IN_NO_SET = -1;

  private final VariantSettings settings;
  private final VariantRules rules;
  private final HeldTable held;
  private final DifferenceSampler sampler;
  private final VariantCounts counts = new VariantCounts();

  /** Until when families are split here, by their prefix. */
  private final Map<String, Long> splitUntil = new HashMap<>();

  /** By family, for each class the index of the class that represents it. */
  private Map<String, int[]> representativesByFamily = Map.of();

  private VariantTable compiledTable;

  /**
   * How a request's key is replaced.
   *
   * @param key the key to request
   * @param family the family of the key
   * @param object the object of which the key is a variant
   * @param representative index of the class that represents the key's class
   * @param compared whether the value is to be passed to {@link #recordValue}
   */
  public record Rewrite(
      String key, String family, String object, int representative, boolean compared) {}

  /** Creates an instance without a table. */
  public VariantKeys(VariantSettings settings, VariantRules rules) {
    this.settings = settings;
    this.rules = rules;
    this.held = new HeldTable(settings.fleet());
    this.sampler = new DifferenceSampler(settings.slots(), settings.slotNanos());
  }

  /**
   * Offers a table that is valid until a time of this node's clock.
   *
   * @throws VariantException if the rules lack a family or class that it names; the table in force
   *     stays
   */
  public HeldTable.OfferResult offer(long now, VariantTable table, long validUntil)
      throws VariantException {
    try {
      table.check(rules);
    } catch (VariantException e) {
      counts.refused++;
      throw e;
    }
    HeldTable.OfferResult result = held.offer(now, table, limitHold(now, validUntil));
    boolean accepted =
        result == HeldTable.OfferResult.NEW || result == HeldTable.OfferResult.RENEWED;
    counts.refused += accepted ? 0 : 1;
    return result;
  }

  /** Renews the known table. */
  public HeldTable.OfferResult renew(long now, VariantVersion version, long validUntil) {
    return held.renew(now, version, limitHold(now, validUntil));
  }

  /** Limits the validity of a table to the configured hold time. */
  private long limitHold(long now, long validUntil) {
    return validUntil - now > settings.holdNanos() ? now + settings.holdNanos() : validUntil;
  }

  /**
   * Returns how a read's key is replaced; null if it stays unchanged and its value is not compared.
   *
   * @param requestClass the class of the request
   */
  public Rewrite rewrite(long now, String key, String requestClass) {
    Match match = match(now, key, requestClass);
    return match == null || isSplit(now, match.rule().prefix()) ? null : rewrite(now, key, match);
  }

  /**
   * Returns the canonical key under the table in force, whether or not the object is due to be
   * compared; null if the key stays unchanged.
   */
  public String canonical(long now, String key, String requestClass) {
    Match match = match(now, key, requestClass);
    return match == null || match.isCanonical() ? null : canonical(key, match);
  }

  /**
   * Returns the match of a key whose class is in a set of the table in force; null for any other
   * key.
   */
  private Match match(long now, String key, String requestClass) {
    VariantTable table = held.inForce(now);
    if (table == null) {
      return null;
    }
    VariantRules.Family family = rules.family(key);
    if (family == null || !family.rule.requestClasses().contains(requestClass)) {
      return null;
    }
    int[] representatives = representatives(table).get(family.rule.prefix());
    VariantRule.ClassPosition position = representatives == null ? null : family.findClass(key);
    return position == null || representatives[position.classIndex()] == IN_NO_SET
        ? null
        : new Match(family.rule, position, representatives[position.classIndex()]);
  }

  /**
   * The position of the class in a key, and the class that represents it.
   *
   * @param representative index of the class that represents it
   */
  private record Match(VariantRule rule, VariantRule.ClassPosition position, int representative) {
    boolean isCanonical() {
      return representative == position.classIndex();
    }
  }

  private static String canonical(String key, Match match) {
    return key.substring(0, match.position().start())
        + match.rule().classes().get(match.representative())
        + key.substring(match.position().end());
  }

  private Rewrite rewrite(long now, String key, Match match) {
    VariantRule.ClassPosition position = match.position();
    String object =
        key.substring(0, position.start()) + CLASS_PLACEHOLDER + key.substring(position.end());
    if (sampler.isDue(now, object)) {
      return new Rewrite(key, match.rule().prefix(), object, match.representative(), true);
    }
    if (match.isCanonical()) {
      return null;
    }
    String canonical = canonical(key, match);
    if (canonical.length() > MAX_KEY_BYTES) {
      counts.tooLong++;
      return null;
    }
    counts.rewritten++;
    return new Rewrite(canonical, match.rule().prefix(), object, match.representative(), false);
  }

  private Map<String, int[]> representatives(VariantTable table) {
    if (table != compiledTable) {
      Map<String, int[]> compiled = new HashMap<>();
      table
          .rows()
          .forEach(
              (family, sets) ->
                  compiled.put(family, computeRepresentatives(rules.rule(family), sets)));
      representativesByFamily = compiled;
      compiledTable = table;
    }
    return representativesByFamily;
  }

  private static int[] computeRepresentatives(VariantRule rule, Iterable<Set<String>> sets) {
    int[] representatives = new int[rule.classes().size()];
    Arrays.fill(representatives, IN_NO_SET);
    for (Set<String> set : sets) {
      int first = set.stream().mapToInt(rule.classes()::indexOf).min().orElseThrow();
      for (String deviceClass : set) {
        representatives[rule.classes().indexOf(deviceClass)] = first;
      }
    }
    return representatives;
  }

  /** Records a value that was to be compared; splits the family here if its values differ. */
  public void recordValue(long now, Rewrite rewrite, ValueHash hash) {
    counts.compared++;
    if (sampler.differs(now, rewrite.object(), rewrite.representative(), hash)) {
      counts.differed++;
      split(now, rewrite.family());
    }
  }

  /** Records a write through this node; splits the key's family here. */
  public void recordWrite(long now, String key) {
    VariantRules.Family family = rules.family(key);
    if (family != null) {
      counts.written++;
      split(now, family.rule.prefix());
    }
  }

  /**
   * Splits a family here for the configured rest time: its keys stay unchanged, and the split is
   * reported.
   */
  public void split(long now, String family) {
    splitUntil.put(family, now + settings.restNanos());
  }

  private boolean isSplit(long now, String family) {
    Long until = splitUntil.get(family);
    if (until != null && until - now <= 0) {
      splitUntil.remove(family);
      return false;
    }
    return until != null;
  }

  /** Returns the families that are split here. */
  public Set<String> split(long now) {
    Set<String> split = new TreeSet<>();
    for (String family : Set.copyOf(splitUntil.keySet())) {
      if (isSplit(now, family)) {
        split.add(family);
      }
    }
    return split;
  }

  /** Returns the table held here, with its validity. */
  public HeldTable held() {
    return held;
  }

  /** Returns the counts of this node. */
  public VariantCounts counts() {
    return counts;
  }
}
