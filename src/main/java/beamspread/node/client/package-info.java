/**
 * The connections of clients: their commands in, their answers out in order, and when a connection
 * ends. A connection is ended by what its socket holds, not by the time alone: see {@code
 * docs/design/0002-closes.md}. What is asked goes to {@link beamspread.node.client.Requests}.
 */
package beamspread.node.client;
