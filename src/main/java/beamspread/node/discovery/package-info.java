/** The client of the discovery service: its calls, their failures, and the list they return. */
package beamspread.node.discovery;
