/**
 * What a fleet costs by its size: many nodes and agents without traffic behind them in one process
 * each, on real sockets, beside single real ones; membership on virtual time. The figures go into
 * the capacity page.
 */
package beamspread.scale;
