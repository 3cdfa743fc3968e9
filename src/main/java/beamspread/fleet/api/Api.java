package beamspread.fleet.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/** The bodies of the agent's API, version 1. Times are Unix milliseconds, tokens fencing tokens. */
public final class Api {
  /**
   * The header of calls that act for the fleet: the name and the epoch of the lease that they are
   * done under, with a space between. An agent refuses an epoch that is lower than one that it has
   * seen of that name, with 409 and {@link #STALE_TOKEN}.
   */
  public static final String FENCING_HEADER = "Beamspread-Fencing-Token";

  /** The error of a call under a lease that has passed to a later owner. */
  public static final String STALE_TOKEN = "stale_fencing_token";

  /** The error while a step that was begun under an earlier owner's lease is still under way. */
  public static final String FINISHING = "finishing";

  private Api() {}

  /**
   * An agent.
   *
   * @param starts which start of the agent this is
   * @param trouble what keeps it from working fully; null if nothing does
   * @param leases the leases under which it was called, by name
   */
  public record AgentView(
      String name,
      long pid,
      long starts,
      String record,
      int instances,
      String trouble,
      List<LeaseSeen> leases) {}

  /**
   * A lease as an agent knows it from calls.
   *
   * @param epoch the highest that it was shown
   * @param refused how many calls it refused as stale since it was started
   */
  public record LeaseSeen(String name, long epoch, long refused) {}

  /**
   * The table of variants at an agent.
   *
   * @param clock a reading of the agent's clock, to be shown with an offer
   * @param version of the highest table that it has seen, in force or not
   * @param holdsMs for how long that is in force; 0 for not at all
   * @param digest of the table; null where none is in force
   * @param text of the table; null where none is in force, or where it was not asked for
   * @param split families that nodes leave alone
   * @param kept families that operators keep split
   * @param nodes what the nodes said last
   */
  public record VariantView(
      String agent,
      String fleet,
      String clock,
      String version,
      long holdsMs,
      String digest,
      String text,
      List<String> split,
      List<String> kept,
      List<VariantNode> nodes) {
    /** An agent of an earlier version keeps none. */
    public VariantView {
      kept = kept == null ? List.of() : kept;
    }
  }

  /** A family whose keys are to be split, or may be merged again. */
  public record VariantFamily(String family) {}

  /** A node as its agent knows it: the version that it holds, and how long ago it said so. */
  public record VariantNode(String node, String version, long saidMs, List<String> split) {}

  /**
   * A table from its owner.
   *
   * @param clock the agent's clock as it was read before
   * @param holdMs for how long from that reading the table holds
   * @param text null where the agent is known to hold the table of this digest: it is renewed
   */
  public record VariantOffer(String clock, long holdMs, String digest, String text) {}

  /** A node asks for the table: the version that it has seen, and the families it leaves alone. */
  public record VariantPull(String node, long token, long number, List<String> split) {}

  /**
   * What a node is told.
   *
   * @param validMs for how long the table holds from now on
   * @param text of the table; null where the node has it
   */
  public record VariantTold(long token, long number, long validMs, String digest, String text) {}

  /**
   * An instance.
   *
   * @param state stopped, starting, running, stopping, backoff or crash_loop
   * @param run whether it is meant to run
   * @param reason why it is in this state; null where that goes without saying
   * @param exits how often it ended by itself lately
   * @param held who holds it; null if nobody does
   * @param status what the node said of itself last; null if it has not
   * @param heardMs when it said so
   */
  public record InstanceView(
      String name,
      String agent,
      String zone,
      String state,
      boolean run,
      Long pid,
      long sinceMs,
      String reason,
      int exits,
      Holder held,
      JsonNode status,
      long heardMs) {}

  /** All instances of an agent. */
  public record Instances(List<InstanceView> instances) {}

  /** The last lines of an instance's log. */
  public record LogLines(List<String> lines) {}

  /** Who holds an instance, for what, and since when. */
  public record Holder(String instance, String operation, String kind, String by, long sinceMs) {}

  /**
   * Asks for leases of all these instances or none.
   *
   * @param lease the id of the caller's session, which only it knows
   * @param ttlMs how long the leases last without being renewed
   * @param plan what is meant to be done over all agents; kept for whoever resumes it
   */
  public record LeaseAsk(
      String lease,
      String operation,
      Kind kind,
      String by,
      List<String> instances,
      long ttlMs,
      JsonNode plan) {}

  /** A lease that an agent was told of: it refuses lower epochs from now on. */
  public record LeaseTold(String name, long epoch) {}

  /** The leases that were given: a token for each instance. */
  public record LeaseGiven(long ttlMs, Map<String, Long> tokens) {}

  /** Renews or gives back all leases of a session; {@code state} is how the operation ended. */
  public record LeaseEnd(String lease, String operation, String state) {}

  /** One instance to be worked on. */
  public record StepAsk(String instance, long token, int attempt) {}

  /** Asks for steps of an operation, all of which are begun or none. */
  public record StepsAsk(String operation, Kind kind, List<StepAsk> steps) {}

  /**
   * A step.
   *
   * @param outcome null while it is under way, or its outcome is not yet on record
   */
  public record StepView(
      String instance,
      int attempt,
      Kind kind,
      Outcome outcome,
      String reason,
      long beganMs,
      long endedMs) {}

  /** An operation, as far as this agent was part of it. */
  public record OperationView(
      String id,
      Kind kind,
      String by,
      JsonNode plan,
      String state,
      long beganMs,
      long endedMs,
      List<StepView> steps) {}

  /** The newest operations. */
  public record Operations(List<OperationView> operations) {}

  /** Something that happened, numbered without gaps from 1 at each start of the agent. */
  public record Event(
      long seq, long atMs, String agent, String type, String instance, String text) {}

  /**
   * Why a call was turned down.
   *
   * @param error a word for programs
   * @param message a sentence for people, with what to do next where that helps
   * @param holders who holds what was asked for
   */
  public record Problem(String error, String message, List<Holder> holders) {}
}
