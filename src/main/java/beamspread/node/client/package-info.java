/**
 * Client connections: reading commands, writing answers in order, and closing connections. Before a
 * connection is closed its socket is read once more, since a timeout alone does not show that the
 * client has sent nothing: see {@code docs/design/0002-closes.md}. Requests are passed to {@link
 * beamspread.node.client.RequestHandler}.
 */
package beamspread.node.client;
