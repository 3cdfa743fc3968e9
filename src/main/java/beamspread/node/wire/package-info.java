/**
 * The meta commands of the memcache text protocol between clients, nodes and cache servers: strict
 * decoding of commands and replies, and the memory budget of writes. Also JSON output of a node.
 */
package beamspread.node.wire;
