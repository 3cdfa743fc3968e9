package beamspread.node.wire;

/**
 * A cache server's reply to the no-op command {@code mn}. The replies to all commands before it
 * have been received, because a server answers in the order of the commands.
 */
public enum NoOpReply {
  INSTANCE
}
