package beamspread.agent;

import beamspread.fleet.api.Api;
import beamspread.lease.FencingToken;
import beamspread.variants.HeldTable;
import beamspread.variants.VariantException;
import beamspread.variants.VariantTable;
import beamspread.variants.VariantTableRelay;
import beamspread.variants.VariantVersion;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The calls about tables of variants: owners offer them under the token of their lease, nodes ask
 * for them. Each runs on the agent's thread. Tables are kept in memory alone: after a start there
 * is none until an owner comes. Which families operators keep split is on the disk.
 */
final class VariantCalls {
  private static final Logger LOG = LoggerFactory.getLogger("agent");

  /** Fleets whose tables an agent holds. */
  private static final int MOST_FLEETS = 16;

  /** Nodes that say nothing for so long are forgotten, with what they left alone. */
  private static final long SAID_NANOS = 60_000_000_000L;

  private static final String FLEET = "[A-Za-z0-9._-]{1,64}";
  private static final int LONGEST_NAME = 100;
  private static final int MOST_FAMILIES = 1024;

  private static final int LONGEST_FAMILY = 200;

  private final AgentCore core;
  private final KeptSplits kept;
  private final Map<String, VariantTableRelay> desks = new TreeMap<>();

  VariantCalls(AgentCore core, KeptSplits kept) {
    this.core = core;
    this.kept = kept;
  }

  private static void check(boolean holds, int status, String error, String message)
      throws Refusal {
    if (!holds) {
      throw new Refusal(status, error, message);
    }
  }

  private VariantTableRelay desk(String fleet) throws Refusal {
    check(fleet.matches(FLEET), 400, "bad_request", "'" + fleet + "' is no name of a fleet");
    check(
        desks.size() < MOST_FLEETS || desks.containsKey(fleet),
        503,
        "full",
        "tables of " + MOST_FLEETS + " fleets are held here");
    return desks.computeIfAbsent(fleet, VariantTableRelay::new);
  }

  /**
   * The table here, and what the nodes say.
   *
   * @param withText whether the table's text is wanted as well
   */
  CompletableFuture<Api.VariantView> view(String fleet, boolean withText) {
    return core.call(() -> CompletableFuture.completedFuture(seen(fleet, withText)));
  }

  private Api.VariantView seen(String fleet, boolean withText) throws Refusal {
    VariantTableRelay desk = desk(fleet);
    long now = core.now();
    VariantTable table = desk.held().inForce(now);
    Set<String> split = desk.splitFamilies(now, SAID_NANOS);
    List<Api.VariantNode> nodes = new ArrayList<>();
    new TreeMap<>(desk.nodeReports())
        .forEach(
            (node, word) ->
                nodes.add(
                    new Api.VariantNode(
                        node,
                        word.version().toString(),
                        (now - word.receivedAtNanos()) / 1_000_000,
                        List.copyOf(word.splitFamilies()))));
    return new Api.VariantView(
        core.name(),
        fleet,
        clock(now),
        desk.held().highestVersion().toString(),
        desk.held().remainingNanos(now) / 1_000_000,
        table == null ? null : table.digest(),
        table == null || !withText ? null : table.text(),
        List.copyOf(split),
        kept.families(fleet).stream().sorted().toList(),
        nodes);
  }

  /** A reading of the clock, which means nothing to another start of this agent. */
  private String clock(long now) {
    return core.starts() + ":" + now;
  }

  /** An owner offers a table. */
  CompletableFuture<Api.VariantView> offer(
      String fleet, Api.VariantOffer offer, FencingToken token) {
    return core.fenced(
        token,
        () -> {
          check(
              token != null && token.name().equals("variants/" + fleet),
              400,
              "bad_request",
              "a table is offered under the lease variants/" + fleet);
          check(kept.trouble() == null, 503, "splits_damaged", kept.trouble());
          VariantTableRelay desk = desk(fleet);
          HeldTable.OfferResult taken =
              offer.text() == null
                  ? renew(desk, offer, token)
                  : desk.offer(core.now(), table(offer, token), readAt(offer), holdNanos(offer));
          check(
              taken == HeldTable.OfferResult.NEW || taken == HeldTable.OfferResult.RENEWED,
              409,
              "table_" + taken.name().toLowerCase(Locale.ROOT),
              "the table is not taken here ("
                  + taken
                  + "): "
                  + desk.held().highestVersion()
                  + " was seen");
          return CompletableFuture.completedFuture(seen(fleet, false));
        });
  }

  private HeldTable.OfferResult renew(
      VariantTableRelay desk, Api.VariantOffer offer, FencingToken token) throws Refusal {
    VariantTable table = desk.held().inForce(core.now());
    check(
        table != null
            && table.version().token() == token.epoch()
            && table.digest().equals(offer.digest()),
        409,
        "table_unknown",
        "no table of this digest is held here: it has to be offered whole");
    return desk.renew(core.now(), table.version(), readAt(offer), holdNanos(offer));
  }

  private static VariantTable table(Api.VariantOffer offer, FencingToken token) throws Refusal {
    try {
      check(
          offer.text() != null && offer.digest() != null,
          400,
          "bad_table",
          "text or digest is missing");
      VariantTable table = VariantTable.parse(offer.text(), offer.digest());
      check(
          table.version().token() == token.epoch(),
          400,
          "bad_table",
          "the table has token " + table.version().token() + ", the call " + token.epoch());
      return table;
    } catch (VariantException e) {
      throw new Refusal(400, "bad_table", e.getMessage());
    }
  }

  private static long holdNanos(Api.VariantOffer offer) throws Refusal {
    check(offer.holdMs() >= 1 && offer.holdMs() <= 600_000, 400, "bad_request", "hold_ms");
    return offer.holdMs() * 1_000_000;
  }

  private long readAt(Api.VariantOffer offer) throws Refusal {
    String[] clock = offer.clock() == null ? new String[0] : offer.clock().split(":");
    check(
        clock.length == 2 && clock[0].equals(Long.toString(core.starts())),
        409,
        "other_start",
        "the clock was read of another start of this agent: ask again");
    try {
      long at = Long.parseLong(clock[1]);
      check(at - core.now() <= 0, 400, "bad_request", "the clock was read in the future");
      return at;
    } catch (NumberFormatException e) {
      throw new Refusal(400, "bad_request", "'" + offer.clock() + "' is no reading of a clock");
    }
  }

  /** Operators keep a family split: the owner's next table leaves it out. */
  CompletableFuture<Api.VariantView> split(String fleet, Api.VariantFamily asked) {
    return core.call(() -> keep(fleet, asked.family(), true));
  }

  /** Operators allow a family again, as far as this agent is concerned. */
  CompletableFuture<Api.VariantView> allow(String fleet, Api.VariantFamily asked) {
    return core.call(() -> keep(fleet, asked.family(), false));
  }

  private CompletableFuture<Api.VariantView> keep(String fleet, String family, boolean split)
      throws Refusal {
    desk(fleet);
    check(kept.trouble() == null, 503, "splits_damaged", kept.trouble());
    check(
        family != null
            && !family.isEmpty()
            && family.length() <= LONGEST_FAMILY
            && family.chars().allMatch(letter -> letter > ' ' && letter < 0x7F),
        400,
        "bad_request",
        "family must have 1 to " + LONGEST_FAMILY + " visible letters");
    check(
        !split || kept.families(fleet).size() < KeptSplits.MOST_FAMILIES,
        503,
        "full",
        KeptSplits.MOST_FAMILIES + " families are kept split here");
    boolean changed = kept.set(fleet, family, split);
    String text = kept.text();
    CompletableFuture<Api.VariantView> answer = new CompletableFuture<>();
    core.disk().execute(() -> write(text, fleet, answer));
    if (changed) {
      LOG.atInfo()
          .addKeyValue("fleet", fleet)
          .addKeyValue("family", family)
          .log(split ? "kept split by operators" : "allowed by operators");
    }
    return answer;
  }

  /** On the disk before it is answered; what can't be written holds until a restart. */
  private void write(String text, String fleet, CompletableFuture<Api.VariantView> answer) {
    try {
      kept.write(text);
      core.execute(
          () -> {
            try {
              answer.complete(seen(fleet, true));
            } catch (Refusal e) {
              answer.completeExceptionally(e);
            }
          });
    } catch (IOException e) {
      core.execute(
          () ->
              answer.completeExceptionally(
                  new Refusal(503, "record", "it could not be written down: " + e)));
    }
  }

  /** A node asks for the table. */
  CompletableFuture<Api.VariantTold> pull(String fleet, Api.VariantPull pull) {
    return core.call(
        () -> {
          check(
              pull.node() != null && !pull.node().isEmpty() && pull.node().length() <= LONGEST_NAME,
              400,
              "bad_request",
              "node must have 1 to " + LONGEST_NAME + " letters");
          List<String> split = pull.split() == null ? List.of() : pull.split();
          check(split.size() <= MOST_FAMILIES, 400, "bad_request", "split names too many");
          VariantTableRelay desk = desk(fleet);
          long now = core.now();
          VariantVersion known = new VariantVersion(pull.token(), pull.number());
          desk.recordNodeReport(now, pull.node(), known, Set.copyOf(split));
          VariantVersion here = desk.held().highestVersion();
          VariantTable table = desk.held().inForce(now);
          boolean has = table == null || here.equals(known);
          return CompletableFuture.completedFuture(
              new Api.VariantTold(
                  here.token(),
                  here.number(),
                  desk.held().remainingNanos(now) / 1_000_000,
                  has ? null : table.digest(),
                  has ? null : table.text()));
        });
  }
}
