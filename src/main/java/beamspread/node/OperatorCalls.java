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
 * Carries out what operators call for, and keeps this process at one with the others of its node.
 * All of it runs on the event loop.
 */
final class OperatorCalls implements MgmtCalls {
  /** What two processes of one node share of what it may hold. */
  interface Holdings {
    /** Connections of clients that this process holds. */
    int clients();

    /** Sockets to cache servers that this process holds. */
    int servers();

    /** The others hold so many, and have so many requests open. */
    void share(int clients, int servers, int open);
  }

  private final Dispatcher dispatcher;
  private final Log log;

  /** What all processes of this node share, null for nothing. */
  private final SharedFolder folder;

  /** What this process holds, and who is told what the others hold. */
  private final Holdings holdings;

  /** Taken out here and not on record, since the folder could not be written to. */
  private final Set<Long> unrecorded = new HashSet<>();

  private int others;
  private volatile boolean othersTake;
  private SharedFolder.Phase phase = SharedFolder.Phase.STARTS;
  private boolean troubled;

  /**
   * @param folder what all processes of this node share, null for nothing
   */
  OperatorCalls(Dispatcher dispatcher, SharedFolder folder, Log log, Holdings holdings) {
    this.dispatcher = dispatcher;
    this.folder = folder;
    this.log = log;
    this.holdings = holdings;
  }

  /** This process takes clients from now on, or no more; looks at the others, too. */
  void takes(boolean now) {
    phase = now ? SharedFolder.Phase.TAKES : SharedFolder.Phase.ENDS;
    look();
  }

  /** Whether another process of this node takes clients, as of the last look. */
  boolean othersTake() {
    return othersTake;
  }

  /** Takes in what the other processes of this node have done. */
  void look() {
    if (folder == null) {
      return;
    }
    SharedFolder.Sight sight;
    try {
      record();
      folder.show(
          new SharedFolder.Shown(
              phase, holdings.clients(), holdings.servers(), dispatcher.unanswered()));
      sight = folder.look();
    } catch (IOException e) {
      if (!troubled) {
        log.failure("shared folder", e);
      }
      troubled = true;
      return;
    }
    troubled = false;
    othersTake = sight.othersTake();
    if (sight.others().size() != others) {
      others = sight.others().size();
      log.line(others + " other processes of this node run");
    }
    holdings.share(
        sight.others().stream().mapToInt(SharedFolder.Shown::clients).sum(),
        sight.others().stream().mapToInt(SharedFolder.Shown::servers).sum(),
        sight.others().stream().mapToInt(SharedFolder.Shown::open).sum());
    if (phase == SharedFolder.Phase.TAKES && others > 0) {
      leaveLearnt();
    }
    Detachments detachments = dispatcher.targets().detachments();
    Set<Long> here = detachments.detached();
    for (long server : sight.detached()) {
      if (!here.contains(server) && detachments.hasRoom()) {
        dispatcher.targets().detach(server);
      }
    }
    for (long server : here) {
      if (!sight.detached().contains(server)) {
        dispatcher.targets().attach(server);
      }
    }
  }

  /** Tells one that starts beside this process what it had better know from the start. */
  private void leaveLearnt() {
    byte[] note = dispatcher.learnt();
    if (note == null) {
      return;
    }
    try {
      folder.leaveLearnt(note);
    } catch (IOException e) {
      log.failure("note to a successor", e);
    }
  }

  /** Takes over what the process before this one has learnt, if it is still true. */
  void inherit() {
    if (folder == null) {
      return;
    }
    try {
      byte[] note = folder.learnt();
      if (note != null && dispatcher.inherit(note)) {
        log.line("goes on with what the process before has learnt");
      }
    } catch (IOException e) {
      log.failure("note of a predecessor", e);
    }
  }

  /** Puts on record what could not be so far, or fails: no look may take it for put back. */
  private void record() throws IOException {
    for (long server : Set.copyOf(unrecorded)) {
      folder.detach(server);
      unrecorded.remove(server);
    }
  }

  @Override
  public boolean ready() {
    return phase == SharedFolder.Phase.TAKES;
  }

  @Override
  public String figures() {
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
    long server = MemberList.number(id);
    Detachments detachments = dispatcher.targets().detachments();
    if (!detachments.knows(server)) {
      return unknown(id);
    }
    if (!detachments.hasRoom() && !detachments.isDetached(server)) {
      return Answer.no(
          HttpResponseStatus.CONFLICT,
          Detachments.MAX_DETACHED + " cache servers are out: attach some");
    }
    // First here, so that it holds at once whatever becomes of the record.
    dispatcher.targets().detach(server);
    log.line("cache server " + id + " is taken out by operators");
    if (folder != null) {
      try {
        folder.detach(server);
      } catch (IOException e) {
        unrecorded.add(server);
        return Answer.no(
            HttpResponseStatus.INTERNAL_SERVER_ERROR,
            "out in this process, not on record for another: " + e.getMessage());
      }
    }
    return yes(id, false);
  }

  @Override
  public Answer attach(String id) {
    long server = MemberList.number(id);
    if (!dispatcher.targets().detachments().knows(server)) {
      return unknown(id);
    }
    if (folder != null) {
      try {
        folder.attach(server);
      } catch (IOException e) {
        // Still on record as out: if it were used here, the next look would take it out again.
        return Answer.no(
            HttpResponseStatus.INTERNAL_SERVER_ERROR, "still out, on record: " + e.getMessage());
      }
    }
    unrecorded.remove(server);
    dispatcher.targets().attach(server);
    log.line("cache server " + id + " is put back by operators");
    return yes(id, true);
  }

  private static Answer unknown(String id) {
    return Answer.no(HttpResponseStatus.NOT_FOUND, "no cache server '" + id + "' was ever listed");
  }

  private static Answer yes(String id, boolean used) {
    return new Answer(
        HttpResponseStatus.OK,
        Json.object(
            json -> {
              json.writeStringField("member", id);
              json.writeBooleanField("in_use", used);
            }));
  }
}
