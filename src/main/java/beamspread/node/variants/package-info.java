/** Variant keys at a node: the operators' file, calls for the table, and requests' keys. */
package beamspread.node.variants;
