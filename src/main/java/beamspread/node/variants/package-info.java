/** Variant keys in a node: the configuration file, fetching the table, and rewriting keys. */
package beamspread.node.variants;
