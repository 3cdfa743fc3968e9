/**
 * Sockets to cache servers: writes commands and reads replies. Which connection an attempt is
 * written to, and when one is opened or closed, is decided in {@code beamspread.pool}; the outcome
 * of attempts is reported to {@link beamspread.node.server.AttemptListener}.
 */
package beamspread.node.server;
