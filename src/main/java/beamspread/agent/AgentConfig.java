package beamspread.agent;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * What an agent is told.
 *
 * @param name its name, also in the record
 * @param folder where it keeps pid files, logs and, by default, its record
 * @param record where the record is
 * @param api how it can be reached
 * @param log where its own log goes
 * @param instances what it looks after
 */
record AgentConfig(
    String name, Path folder, Record record, Api api, AgentLog log, List<Instance> instances) {

  /**
   * Where the record is: in a file, or where {@code url} is set in PostgreSQL.
   *
   * @param keep how many operations that have ended are kept
   */
  record Record(Path file, String url, String user, Path passwordFile, int keep) {}

  /**
   * How the agent can be reached.
   *
   * @param names further names under which callers may address it
   * @param token the file of the token that callers need; null for none
   * @param certificate the file of the certificate chain; null for no TLS
   * @param key the file of its private key
   */
  record Api(String host, int port, List<String> names, Path token, Path certificate, Path key) {}

  /**
   * An instance.
   *
   * @param command the command line; it has to become the node itself (exec), not start it
   * @param folder where it runs
   * @param config its configuration file, told it as {@code ROUTER_CONFIG}
   * @param statusSocket where it tells its status; null if it does not
   * @param descriptors how many files it may have open, 0 for as many as the agent
   * @param autostart whether it runs from the first time that the agent sees it
   * @param stopFixed whether the time to stop is set, not taken from the node's configuration
   */
  record Instance(
      String name,
      String zone,
      List<String> command,
      Path folder,
      Path config,
      Path statusSocket,
      Map<String, String> environment,
      int descriptors,
      boolean autostart,
      Timing timing,
      boolean stopFixed) {}
}
