/**
 * The node as a member of its tier: sends and receives datagrams on the event loop for the state
 * machine in {@code beamspread.tier}.
 */
package beamspread.node.tier;
