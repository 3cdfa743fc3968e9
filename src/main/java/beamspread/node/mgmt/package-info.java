/**
 * The management interface of a node: HTTP/1.1 on a separate address, one call per connection, on
 * the node's event loop. This package handles the connections; the calls are implemented by {@link
 * beamspread.node.mgmt.MgmtCalls}.
 */
package beamspread.node.mgmt;
