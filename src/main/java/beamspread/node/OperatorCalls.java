package beamspread.node;

import beamspread.maintenance.Detachments;
import beamspread.maintenance.RequestCounters;
import beamspread.node.discovery.MemberList;
import beamspread.node.handover.SharedFolder;
import beamspread.node.mgmt.MgmtCalls;
import beamspread.node.wire.Json;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

/**
 * Carries out the calls of operators, and keeps this process in step with the other processes of
 * its node. Runs on the event loop only.
 */
final class OperatorCalls implements MgmtCalls {
  /**
   * The connections of this process, and the limits that it shares with the other processes of its
   * node.
   */
  interface ResourceUsage {
    /** Returns the number of client connections that this process holds. */
    int clientConnections();

    /** Returns the number of sockets to cache servers that this process holds. */
    int serverSockets();

    /** Reserves what the other processes hold: connections, sockets, and open requests. */
    void reserveForOthers(int clientConnections, int serverSockets, int openRequests);
  }

  private final Dispatcher dispatcher;
  private final Log log;

  /** Shared by all processes of this node; null if there is none. */
  private final SharedFolder folder;

  /** Reports what this process holds, and receives what the others hold. */
  private final ResourceUsage usage;

  /**
   * Servers that are detached in this process but not on record, because writing to the folder
   * failed.
   */
  private final Set<Long> unrecordedDetachments = new HashSet<>();

  private int otherProcesses;
  private volatile boolean othersAcceptClients;
  private SharedFolder.Phase phase = SharedFolder.Phase.STARTS;
  private boolean folderFailed;

  /**
   * @param folder shared by all processes of this node, null for none
   */
  OperatorCalls(Dispatcher dispatcher, SharedFolder folder, Log log, ResourceUsage usage) {
    this.dispatcher = dispatcher;
    this.folder = folder;
    this.log = log;
    this.usage = usage;
  }

  /** Sets whether this process accepts clients, and synchronizes with the other processes. */
  void setAcceptingClients(boolean accepting) {
    phase = accepting ? SharedFolder.Phase.TAKES : SharedFolder.Phase.ENDS;
    synchronize();
  }

  /**
   * Returns whether another process of this node accepts clients, as of the last synchronization.
   */
  boolean othersAcceptClients() {
    return othersAcceptClients;
  }

  /**
   * Publishes this process's state in the shared folder, and applies what the others have written
   * there.
   */
  void synchronize() {
    if (folder == null) {
      return;
    }
    SharedFolder.Snapshot sight;
    try {
      recordDetachments();
      folder.publish(
          new SharedFolder.ProcessStatus(
              phase, usage.clientConnections(), usage.serverSockets(), dispatcher.unanswered()));
      sight = folder.scan();
    } catch (IOException e) {
      if (!folderFailed) {
        log.error("shared folder", e);
      }
      folderFailed = true;
      return;
    }
    folderFailed = false;
    othersAcceptClients = sight.otherAcceptsClients();
    if (sight.otherProcesses().size() != otherProcesses) {
      otherProcesses = sight.otherProcesses().size();
      log.info(otherProcesses + " other processes of this node are running");
    }
    usage.reserveForOthers(
        sight.otherProcesses().stream()
            .mapToInt(SharedFolder.ProcessStatus::clientConnections)
            .sum(),
        sight.otherProcesses().stream()
            .mapToInt(SharedFolder.ProcessStatus::serverConnections)
            .sum(),
        sight.otherProcesses().stream().mapToInt(SharedFolder.ProcessStatus::openRequests).sum());
    if (phase == SharedFolder.Phase.TAKES && otherProcesses > 0) {
      writeLearnedState();
    }
    Detachments detachments = dispatcher.targets().detachments();
    Set<Long> detachedHere = detachments.detached();
    for (long server : sight.detachedServers()) {
      if (!detachedHere.contains(server) && detachments.hasRoom()) {
        dispatcher.targets().detach(server);
      }
    }
    for (long server : detachedHere) {
      if (!sight.detachedServers().contains(server)) {
        dispatcher.targets().attach(server);
      }
    }
  }

  /** Writes the learnt state for a process that starts beside this one. */
  private void writeLearnedState() {
    byte[] note = dispatcher.encodeLearnedState();
    if (note == null) {
      return;
    }
    try {
      folder.writeLearned(note);
    } catch (IOException e) {
      log.error("write learnt state for a successor", e);
    }
  }

  /** Restores the learnt state of the previous process, if it is still valid. */
  void restoreLearnedState() {
    if (folder == null) {
      return;
    }
    try {
      byte[] note = folder.readLearned();
      if (note != null && dispatcher.restoreLearnedState(note)) {
        log.info("goes on with what the process before has learnt");
      }
    } catch (IOException e) {
      log.error("read learnt state of a predecessor", e);
    }
  }

  /**
   * Records detached servers that could not be recorded so far. Throws if that still fails, so that
   * the caller doesn't mistake a server that is missing from the record for one that was attached
   * again.
   */
  private void recordDetachments() throws IOException {
    for (long server : Set.copyOf(unrecordedDetachments)) {
      folder.detach(server);
      unrecordedDetachments.remove(server);
    }
  }

  @Override
  public boolean ready() {
    return phase == SharedFolder.Phase.TAKES;
  }

  @Override
  public String metrics() {
    RequestCounters figures = dispatcher.figures();
    Detachments detachments = dispatcher.targets().detachments();
    return Json.object(
        json -> {
          json.writeObjectFieldStart("replies");
          for (String name : figures.classes()) {
            json.writeObjectFieldStart(name);
            json.writeNumberField("success", figures.replies(name, RequestCounters.Ending.SUCCESS));
            json.writeNumberField(
                "overload", figures.replies(name, RequestCounters.Ending.OVERLOAD));
            json.writeNumberField("error", figures.replies(name, RequestCounters.Ending.ERROR));
            json.writeEndObject();
          }
          json.writeEndObject();
          json.writeNumberField("dispatches", figures.dispatches());
          json.writeNumberField("concurrent", dispatcher.unanswered());
          json.writeNumberField("targets", detachments.listedCount());
          json.writeNumberField("targets_disabled", detachments.avoidedCount());
        });
  }

  @Override
  public Answer detach(String id) {
    long server = MemberList.serverNumber(id);
    Detachments detachments = dispatcher.targets().detachments();
    if (!detachments.knows(server)) {
      return unknownServer(id);
    }
    if (!detachments.hasRoom() && !detachments.isDetached(server)) {
      return Answer.error(
          HttpResponseStatus.CONFLICT,
          Detachments.MAX_DETACHED + " cache servers are out: attach some");
    }
    // Detach in this process first, so that it takes effect at once even if recording it fails.
    dispatcher.targets().detach(server);
    log.info("cache server " + id + " was detached by an operator");
    if (folder != null) {
      try {
        folder.detach(server);
      } catch (IOException e) {
        unrecordedDetachments.add(server);
        return Answer.error(
            HttpResponseStatus.INTERNAL_SERVER_ERROR,
            "out in this process, not on record for another: " + e.getMessage());
      }
    }
    return success(id, false);
  }

  @Override
  public Answer attach(String id) {
    long server = MemberList.serverNumber(id);
    if (!dispatcher.targets().detachments().knows(server)) {
      return unknownServer(id);
    }
    if (folder != null) {
      try {
        folder.attach(server);
      } catch (IOException e) {
        // It is still on record as detached: if it were attached here, the next synchronization
        // would detach it again.
        return Answer.error(
            HttpResponseStatus.INTERNAL_SERVER_ERROR, "still out, on record: " + e.getMessage());
      }
    }
    unrecordedDetachments.remove(server);
    dispatcher.targets().attach(server);
    log.info("cache server " + id + " was attached by an operator");
    return success(id, true);
  }

  private static Answer unknownServer(String id) {
    return Answer.error(
        HttpResponseStatus.NOT_FOUND, "no cache server '" + id + "' was ever listed");
  }

  private static Answer success(String id, boolean inUse) {
    return new Answer(
        HttpResponseStatus.OK,
        Json.object(
            json -> {
              json.writeStringField("member", id);
              json.writeBooleanField("in_use", inUse);
            }));
  }
}
