package beamspread.model;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * An update of the list of servers.
 *
 * @param kind whether the entries are a full list, changes, or absent after a failed call
 * @param version the list's version
 * @param entries the entries of the update
 */
public record MembershipUpdate(Kind kind, long version, List<ServerEntry> entries) {

  /** Returns the ids of the servers in the entries. */
  public Set<Long> serverIds() {
    return entries.stream().map(ServerEntry::id).collect(Collectors.toSet());
  }

  /** The kind of an update. */
  public enum Kind {
    /** Only the entries that changed. */
    CHANGES,
    /** The full list. */
    FULL,
    /** The full list as last known; it may be out of date. */
    CACHED,
    /** Entries that operators have changed; they don't come from discovery. */
    OPERATOR,
    /** A call for the list has failed, or the subscription was lost. */
    FAILED,
    /** Discovery has answered a call with the statement that it is overloaded. */
    OVERLOADED;

    /** Returns whether the entries are the full list, so that other servers have left. */
    public boolean isFullList() {
      return this == FULL || this == CACHED;
    }

    /** Returns whether the call failed, so that the update has no entries. */
    public boolean isFailure() {
      return this == FAILED || this == OVERLOADED;
    }

    /** Returns whether the update is an answer of discovery. */
    public boolean isAnswer() {
      return this == CHANGES || this == FULL;
    }
  }
}
