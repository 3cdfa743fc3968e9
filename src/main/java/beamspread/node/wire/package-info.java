/**
 * The meta commands of the memcache text protocol as clients, nodes and cache servers speak them:
 * strict reading of commands and replies, and the memory that writes may hold meanwhile. Also how a
 * node writes JSON.
 */
package beamspread.node.wire;
