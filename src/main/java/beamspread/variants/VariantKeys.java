package beamspread.variants;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Canonical keys at one node. A key is replaced only while the table that says so is known to hold;
 * in any doubt it stays as it is, which is always right and only dearer. Not for more than one
 * thread.
 */
public final class VariantKeys {
  /** The longest key that the protocol has, in bytes. */
  private static final int LONGEST_KEY = 250;

  /** Stands in an object's name where its keys have the class; no key has it. */
  private static final char CLASS = ' ';

  private static final int IN_NO_SET = -1;

  private final VariantSettings settings;
  private final VariantRules rules;
  private final HeldTable held;
  private final DifferenceSampler sampler;
  private final VariantCounts counts = new VariantCounts();

  /** Until when families are left alone here, by their prefix. */
  private final Map<String, Long> restsUntil = new HashMap<>();

  /** By family, for each class the one that stands for it. */
  private Map<String, int[]> representatives = Map.of();

  private VariantTable compiled;

  /**
   * What becomes of a request's key.
   *
   * @param key to be asked for
   * @param family whose key it is
   * @param object what it is a variant of
   * @param representative the number of the class that stands for its class
   * @param compared whether the value is to be told by {@link #answered}
   */
  public record Rewrite(
      String key, String family, String object, int representative, boolean compared) {}

  /** Without a table. */
  public VariantKeys(VariantSettings settings, VariantRules rules) {
    this.settings = settings;
    this.rules = rules;
    this.held = new HeldTable(settings.fleet());
    this.sampler = new DifferenceSampler(settings.slots(), settings.slotNanos());
  }

  /**
   * A table was told, which holds until a time of this node's clock.
   *
   * @throws VariantException if the rules lack what it names; what was in force stays
   */
  public HeldTable.Taken take(long now, VariantTable table, long holdsUntil)
      throws VariantException {
    try {
      table.check(rules);
    } catch (VariantException e) {
      counts.refused++;
      throw e;
    }
    HeldTable.Taken taken = held.take(now, table, bounded(now, holdsUntil));
    boolean good = taken == HeldTable.Taken.NEW || taken == HeldTable.Taken.RENEWED;
    counts.refused += good ? 0 : 1;
    return taken;
  }

  /** The table that is known holds for longer. */
  public HeldTable.Taken renew(long now, VariantVersion version, long holdsUntil) {
    return held.renew(now, version, bounded(now, holdsUntil));
  }

  /** Nobody can promise more than the settings have it. */
  private long bounded(long now, long holdsUntil) {
    return holdsUntil - now > settings.holdNanos() ? now + settings.holdNanos() : holdsUntil;
  }

  /**
   * What becomes of a read's key; null if it stays as it is and nothing is to be told of it.
   *
   * @param requestClass the class of the request
   */
  public Rewrite rewrite(long now, String key, String requestClass) {
    Match match = match(now, key, requestClass);
    return match == null || rests(now, match.rule().prefix()) ? null : rewrite(now, key, match);
  }

  /**
   * The canonical key under the table in force, whether or not it is to be compared just now; null
   * if the key stays as it is.
   */
  public String canonical(long now, String key, String requestClass) {
    Match match = match(now, key, requestClass);
    return match == null || match.isCanonical() ? null : canonical(key, match);
  }

  /** A key whose class is in a set of the table in force; null for any other. */
  private Match match(long now, String key, String requestClass) {
    VariantTable table = held.inForce(now);
    if (table == null) {
      return null;
    }
    VariantRules.Family family = rules.family(key);
    if (family == null || !family.rule.requests().contains(requestClass)) {
      return null;
    }
    int[] standsFor = representatives(table).get(family.rule.prefix());
    VariantRule.Place place = standsFor == null ? null : family.place(key);
    return place == null || standsFor[place.deviceClass()] == IN_NO_SET
        ? null
        : new Match(family.rule, place, standsFor[place.deviceClass()]);
  }

  /**
   * Where a key names its class, and the class that stands for it.
   *
   * @param representative its number
   */
  private record Match(VariantRule rule, VariantRule.Place place, int representative) {
    boolean isCanonical() {
      return representative == place.deviceClass();
    }
  }

  private static String canonical(String key, Match match) {
    return key.substring(0, match.place().start())
        + match.rule().classes().get(match.representative())
        + key.substring(match.place().end());
  }

  private Rewrite rewrite(long now, String key, Match match) {
    VariantRule.Place place = match.place();
    String object = key.substring(0, place.start()) + CLASS + key.substring(place.end());
    if (sampler.isDue(now, object)) {
      return new Rewrite(key, match.rule().prefix(), object, match.representative(), true);
    }
    if (match.isCanonical()) {
      return null;
    }
    String canonical = canonical(key, match);
    if (canonical.length() > LONGEST_KEY) {
      counts.tooLong++;
      return null;
    }
    counts.rewritten++;
    return new Rewrite(canonical, match.rule().prefix(), object, match.representative(), false);
  }

  private Map<String, int[]> representatives(VariantTable table) {
    if (table != compiled) {
      Map<String, int[]> all = new HashMap<>();
      table.rows().forEach((family, sets) -> all.put(family, standsFor(rules.rule(family), sets)));
      representatives = all;
      compiled = table;
    }
    return representatives;
  }

  private static int[] standsFor(VariantRule rule, Iterable<Set<String>> sets) {
    int[] standsFor = new int[rule.classes().size()];
    Arrays.fill(standsFor, IN_NO_SET);
    for (Set<String> set : sets) {
      int first = set.stream().mapToInt(rule.classes()::indexOf).min().orElseThrow();
      for (String one : set) {
        standsFor[rule.classes().indexOf(one)] = first;
      }
    }
    return standsFor;
  }

  /** The value has come that was to be compared; a family whose values differ is split here. */
  public void answered(long now, Rewrite asked, ValueHash hash) {
    counts.compared++;
    if (sampler.differs(now, asked.object(), asked.representative(), hash)) {
      counts.differed++;
      split(now, asked.family());
    }
  }

  /** A key is written through this node: its family is split here. */
  public void written(long now, String key) {
    VariantRules.Family family = rules.family(key);
    if (family != null) {
      counts.written++;
      split(now, family.rule.prefix());
    }
  }

  /** Leaves a family's keys alone, and has it told, for the time of rest. */
  public void split(long now, String family) {
    restsUntil.put(family, now + settings.restNanos());
  }

  private boolean rests(long now, String family) {
    Long until = restsUntil.get(family);
    if (until != null && until - now <= 0) {
      restsUntil.remove(family);
      return false;
    }
    return until != null;
  }

  /** The families that are left alone here. */
  public Set<String> split(long now) {
    Set<String> split = new TreeSet<>();
    for (String family : Set.copyOf(restsUntil.keySet())) {
      if (rests(now, family)) {
        split.add(family);
      }
    }
    return split;
  }

  /** What is held. */
  public HeldTable held() {
    return held;
  }

  /** What has become of keys and tables. */
  public VariantCounts counts() {
    return counts;
  }
}
