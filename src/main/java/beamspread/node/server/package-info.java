/**
 * The sockets to cache servers: commands out, replies in. Which connection an attempt is written
 * to, and when one is opened or closed, is decided in {@code beamspread.pool}; what comes of
 * attempts is told to {@link beamspread.node.server.Outcomes}.
 */
package beamspread.node.server;
