package beamspread.node.mgmt;

import beamspread.node.wire.Json;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The management calls of a node. Runs on the event loop only. */
public interface MgmtCalls {
  /**
   * The answer to a call.
   *
   * @param status 2xx for success, 4xx or 5xx for an error
   * @param json the body, one JSON object
   */
  record Answer(HttpResponseStatus status, String json) {
    /** Returns an error answer with a message. */
    public static Answer error(HttpResponseStatus status, String message) {
      return new Answer(status, Json.object("error", message));
    }
  }

  /** Returns whether this process accepts clients. */
  boolean ready();

  /** Returns the metrics as one JSON object. */
  String metrics();

  /** Detaches the cache server with this id: it gets no requests until it is attached again. */
  Answer detach(String id);

  /** Attaches the cache server with this id again. */
  Answer attach(String id);
}
