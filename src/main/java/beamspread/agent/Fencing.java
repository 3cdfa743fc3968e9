package beamspread.agent;

import beamspread.fleet.api.Api;
import beamspread.lease.FencingToken;
import beamspread.lease.FencingTokens;
import beamspread.lease.StaleTokenException;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Refuses work under leases that have passed to later owners. The highest token of each name is on
 * the disk before anything is done under it. On the agent's thread alone.
 */
final class Fencing {
  private static final Logger LOG = LoggerFactory.getLogger("agent");
  private static final CompletableFuture<Void> NOTHING_TO_KEEP =
      CompletableFuture.completedFuture(null);

  private final FencingFile file;
  private final FencingTokens tokens;

  /** Why no work is taken on; null where the tokens could be read. */
  private final String trouble;

  /** The tokens that sessions have shown. */
  private final Map<String, FencingToken> bySession = new HashMap<>();

  /** Calls that were refused as stale, by the name of their lease. */
  private final Map<String, Long> refused = new HashMap<>();

  /** Whether what is known is not all on the disk, since a write failed. */
  private boolean unwritten;

  /** The last write, done or under way. */
  private CompletableFuture<Void> lastKept = NOTHING_TO_KEEP;

  /** Reads what has been seen; where that is damaged all work is refused. */
  Fencing(FencingFile file) {
    this.file = file;
    FencingTokens read = new FencingTokens(Map.of());
    String why = null;
    try {
      read = file.read();
    } catch (IOException e) {
      why =
          "no work on the fleet is taken on, since it is not known who owned it last: "
              + e.getMessage()
              + "; find the highest epochs with 'lease list', 'lease raise' them, and remove the"
              + " file";
    }
    tokens = read;
    trouble = why;
  }

  /** Why no work is taken on; null if nothing is wrong. */
  String trouble() {
    return trouble;
  }

  /** The leases that calls have shown, in the order of their names. */
  List<Api.LeaseSeen> seen() {
    return tokens.all().entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .map(
            lease ->
                new Api.LeaseSeen(
                    lease.getKey(), lease.getValue(), refused.getOrDefault(lease.getKey(), 0L)))
        .toList();
  }

  /** Refuses a call under a lease that is known to have passed on; null shows none. */
  void check(FencingToken token) throws Refusal {
    if (trouble != null) {
      throw new Refusal(503, "fencing_damaged", trouble);
    }
    if (token == null) {
      return;
    }
    try {
      tokens.check(token);
    } catch (StaleTokenException e) {
      refused.merge(token.name(), 1L, Long::sum);
      LOG.atWarn()
          .addKeyValue("lease", token.name())
          .addKeyValue("given", token.epoch())
          .addKeyValue("seen", e.seen())
          .log("refused a stale token");
      throw new Refusal(409, Api.STALE_TOKEN, e.getMessage());
    }
    if (!tokens.hasRoomFor(token)) {
      throw new Refusal(
          503, "fencing_full", "more than " + FencingTokens.MOST_NAMES + " leases are known here");
    }
  }

  /**
   * Keeps a token that is higher than all seen. Lower ones are refused from now on; what is to be
   * done under this one waits until it is on the disk.
   *
   * @param disk writes, one after the other
   * @param thread the agent's own, on which the future completes
   */
  CompletableFuture<Void> keep(FencingToken token, Executor disk, Executor thread) {
    if (token == null) {
      return NOTHING_TO_KEEP;
    }
    if (!tokens.isNew(token) && !unwritten) {
      return lastKept;
    }
    tokens.saw(token);
    unwritten = false;
    Map<String, Long> all = tokens.all();
    CompletableFuture<Void> kept = new CompletableFuture<>();
    lastKept = kept;
    disk.execute(() -> write(all, kept, thread));
    return kept;
  }

  private void write(Map<String, Long> all, CompletableFuture<Void> kept, Executor thread) {
    try {
      file.write(all);
      thread.execute(() -> kept.complete(null));
    } catch (IOException e) {
      thread.execute(
          () -> {
            unwritten = true;
            kept.completeExceptionally(
                new Refusal(
                    503, "record", "nothing was begun, since its token could not be kept: " + e));
          });
    }
  }

  /** A session works under this token. */
  void shown(String session, FencingToken token) {
    if (token == null) {
      bySession.remove(session);
    } else {
      bySession.put(session, token);
    }
  }

  /** A session has ended. */
  void over(String session) {
    bySession.remove(session);
  }

  /**
   * Whether a session may work under an earlier lease than this token's: also where it is not known
   * what it works under.
   */
  boolean mayBeEarlier(String session, FencingToken token) {
    return bySession.get(session) == null || isEarlier(session, token);
  }

  /** Whether a session works under an earlier lease than this token's, of the same name. */
  boolean isEarlier(String session, FencingToken token) {
    FencingToken its = bySession.get(session);
    return token != null
        && its != null
        && its.name().equals(token.name())
        && its.epoch() < token.epoch();
  }
}
