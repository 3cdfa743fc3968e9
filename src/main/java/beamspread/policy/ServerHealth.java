package beamspread.policy;

import beamspread.model.Hashes;
import beamspread.model.Outcome;
import beamspread.model.ServerEntry;
import beamspread.model.Settings;

/** What this balancer knows of one server: its list entry, requests in flight, health, warmth. */
final class ServerHealth {
  /** Failures to connect in a row that make a server suspect; one may be a full server's. */
  private static final int SUSPECT_AFTER = 2;

  /** Attempts in a row not served that make a server suspect, where most servers fare well. */
  static final int UNSERVED_AFTER = 3;

  /** Seconds after an answer in which a reset says something of a connection, not of its server. */
  private static final double LIVELY = 1;

  /** Seconds without any answer after which a server that answers again has been restarted. */
  private static final double LEAST_OUTAGE = 2;

  /** Pause before a suspect's first trial, and the longest one, in seconds. */
  private static final double FIRST_PAUSE = 0.5;

  private static final double LONGEST_PAUSE = 4;

  /** Seconds in which unrenewed strain fades to a third. */
  private static final double STRAIN_FADES = 3;

  /** What one fetch weighs in its server's losses. */
  static final double ONE_LOSS = 0.2;

  /** Strain under which a server answers with ease. */
  private static final double EASE = 0.5;

  final long id;
  ServerEntry entry;
  int inFlight;

  /**
   * The share of its keys that the server is offered, learned from how it fares: the others jump.
   * Which keys stay goes by their hash alone, so balancers that learn alike move the same keys.
   */
  double share = 1;

  /** How strained it is, lately: above 1 its answers come late or its cores are all in use. */
  private double strain = 0.5;

  private double learnedAt;

  private final Settings settings;
  private double startedAt;
  private int failures;
  private double pause;
  private double trialAt;
  private boolean trialOut;

  /** The share of its fetches that failed or came late, lately. */
  double fetchLosses;

  /** Attempts in a row that it did not serve. */
  int unserved;

  /** When a connection was last in use; none is held when this is too long ago. */
  double connectedAt = Double.NEGATIVE_INFINITY;

  /** Whether a connection to it broke, and whether its process ended. */
  private boolean broke;

  private boolean died;

  /** When it last answered; before it ever has, when this balancer came to know it. */
  private double heardAt;

  private boolean heard;
  private double servedAt = Double.NEGATIVE_INFINITY;

  private double tokens;
  private double tokensAt;

  ServerHealth(ServerEntry entry, double now, Settings settings) {
    this.id = entry.id();
    this.entry = entry;
    this.settings = settings;
    this.startedAt = entry.startedAt() > 0 ? entry.startedAt() : Double.NEGATIVE_INFINITY;
    this.learnedAt = now;
    this.heardAt = now;
    takeTurn(now);
  }

  /** Balancers have their first turns at a started server one after the other. */
  private void takeTurn(double now) {
    double turn = (double) settings.number() / Math.max(1, settings.instances());
    tokens = (turn + Hashes.fraction(Hashes.mix(id))) % 1;
    tokensAt = now;
  }

  /** The list has news of this server; a new start means an empty cache and a cold machine. */
  void listed(ServerEntry news, double now) {
    if (news.startedAt() > entry.startedAt()) {
      startedAt = Math.max(startedAt, news.startedAt());
      failures = 0;
      trialOut = false;
      takeTurn(now);
    }
    entry = news;
  }

  /** Rule 3: only servers that the list calls ready get anything new. */
  boolean ready() {
    return entry.state() == ServerEntry.State.READY;
  }

  /** Whether it answered so lately that a broken connection says nothing of the server. */
  boolean lively(double now) {
    return heard && now - heardAt < LIVELY;
  }

  boolean suspect() {
    return failures >= SUSPECT_AFTER;
  }

  /** Whether a suspect server may get a trial request now: one at a time, after a pause. */
  boolean trialDue(double now) {
    return !trialOut && now >= trialAt;
  }

  /**
   * A sign of strain, 1 being the most that is fair. Guards against servers that are slower than
   * the list says, or have more than their part of the keys, where each balancer has too few
   * requests in flight for a cap to act.
   */
  void strained(double now, double sample, double fair) {
    strain = strain(now) + 0.2 * (Math.min(4, Math.max(0, sample)) - strain(now));
    double clipped = Math.min(4, Math.max(0, sample / fair));
    if (clipped > 1) {
      // A balancer that sees little learns more from each sample: it speaks for the time before it.
      double gain = Math.max(0.1, Math.min(0.25, 0.2 * (now - learnedAt)));
      share *= 1 - gain * (clipped - 1);
    } else {
      share += 0.05 * (1 - clipped) * Math.max(share, 0.2);
    }
    // Without any sample the share still comes back slowly: a server with few keys has few.
    share += 0.02 * Math.min(5, Math.max(0, now - learnedAt));
    share = Math.min(1, Math.max(0.02, share));
    learnedAt = now;
  }

  /** A likely fetch is over. */
  void fetched(boolean good, boolean bad) {
    fetchLosses += good || bad ? ONE_LOSS * ((bad ? 1 : 0) - fetchLosses) : 0;
  }

  /** Old strain fades: a server that gets nothing must not be held strained for good. */
  double strain(double now) {
    return strain * Math.exp(Math.min(0, learnedAt - now) / STRAIN_FADES);
  }

  double share(double now) {
    return Math.min(1, share + 0.02 * Math.max(0, now - learnedAt));
  }

  /** Whether the key is among those that the server keeps while it is offered but a share. */
  boolean keeps(double now, long keyHash, double most) {
    double kept = share(now) / most;
    return kept >= 1 || Hashes.fraction(keyHash ^ Hashes.mix(id)) < kept;
  }

  /** The share of its capacity that a started server has by the contract: 1 once it is warm. */
  double warmth(double now) {
    return settings.contract().warmth(now - startedAt);
  }

  /**
   * Rule 4: whether it is this balancer's turn at a cold server. Its rate is the one at which warm
   * servers of like weight answer it, times what this one can do by now; once it answers with ease,
   * half of what the contract leaves on top. A turn that is not taken in time is lost: nobody hears
   * of the others, and what all have saved up must not come together. What is left of the
   * contract's N, and most of the two roots of N, is for turns that begin before a window.
   */
  boolean coldRoom(double now, double warmRate) {
    double fair = warmRate * warmth(now);
    double spare = Math.max(0, settings.contract().overloadFactor() - 1) / 2;
    double rate = fair * (servedAt > startedAt && strain(now) < EASE ? 1 + spare : 1);
    double all = Math.max(1, settings.instances());
    double window = fair * settings.contract().overloadFor();
    double late = window * spare + 1.5 * Math.sqrt((1 + 2 * spare) * window / all) + 1 / all;
    late = Math.min(late, Math.max(1, rate * 0.25));
    tokens += (now - tokensAt) * rate;
    tokens -= Math.max(0, Math.ceil(tokens - 1 - late));
    tokensAt = now;
    return tokens >= 1;
  }

  void sent() {
    inFlight++;
    tokens--;
    if (suspect()) {
      trialOut = true;
    }
  }

  /** An attempt ended; true if the server refused a connection and may yet be running. */
  boolean ended(double now, Outcome outcome, double idleTimeout, boolean few) {
    Outcome.Result result = outcome.result();
    boolean served = result == Outcome.Result.OK || result == Outcome.Result.NOT_STORED;
    boolean failed = outcome.blamesServer();
    unserved = served ? 0 : unserved + (failed ? 1 : 0);
    servedAt = served ? now : servedAt;
    inFlight--;
    trialOut = false;
    boolean was = suspect();
    if (result.unreachable()) {
      // A server at its limit of connections refuses as a dead one does, but keeps those it has.
      broke |= result == Outcome.Result.RESET || now - connectedAt < idleTimeout;
      // Guards against taking a live server that resets connections for a dead one, and then for a
      // cold one: only one that refuses its trials, too, for as long as a start takes, has died.
      died |= was && broke && now - heardAt > LEAST_OUTAGE;
      connectedAt = Double.NEGATIVE_INFINITY;
      failures += result == Outcome.Result.RESET && lively(now) ? 0 : 1;
    } else if (result.fromServer()) {
      connectedAt = heardAt = now;
      heard = true;
      if (was && died) {
        // It was down and answers again before the list has told: its process is new and cold.
        startedAt = Math.max(startedAt, now);
        takeTurn(now);
      }
      failures = 0;
      died = broke = false;
    }
    // Guards against servers that hang, whose fetches would be taken for the origin's losses, and
    // against those that turn all away at once and so draw the most; not where many do so, for that
    // has a cause that they share, nor where it serves a part: its load would push the others over.
    if (failed && few && unserved >= UNSERVED_AFTER && now - servedAt > LIVELY) {
      failures = SUSPECT_AFTER;
    }
    // What was out before the trial tells nothing new, and a trial that ends at once costs little.
    if (suspect() && !served && (!was || now >= trialAt)) {
      pause = was && !result.fromServer() ? Math.min(LONGEST_PAUSE, pause * 1.5) : FIRST_PAUSE;
      trialAt = now + pause;
    }
    return result.unreachable() && !broke;
  }
}
