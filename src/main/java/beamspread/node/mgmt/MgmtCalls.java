package beamspread.node.mgmt;

import beamspread.node.wire.Json;
import io.netty.handler.codec.http.HttpResponseStatus;

/** What operators can ask of a node. All of it runs on the event loop. */
public interface MgmtCalls {
  /**
   * An answer.
   *
   * @param status 2xx for yes, 4xx or 5xx for no
   * @param json the body, one JSON object
   */
  record Answer(HttpResponseStatus status, String json) {
    /** A no, and why. */
    public static Answer no(HttpResponseStatus status, String why) {
      return new Answer(status, Json.object("error", why));
    }
  }

  /** Whether this process takes clients. */
  boolean ready();

  /** The figures, as one JSON object. */
  String figures();

  /** Takes the cache server of this id out of use, until it is put back. */
  Answer detach(String id);

  /** Puts the cache server of this id back into use. */
  Answer attach(String id);
}
