/**
 * Relays large values part by part from the connection of a cache server to that of a client.
 * {@code beamspread.relay} decides when to read, drop data and close connections.
 */
package beamspread.node.relay;
