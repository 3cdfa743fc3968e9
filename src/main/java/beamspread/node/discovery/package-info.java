/** The list of cache servers: calls to discovery, their answers and failures, the log of both. */
package beamspread.node.discovery;
