/**
 * What an experiment of the model has shown, as one HTML file with its plots inside; what nodes
 * write of their seconds, added up.
 */
package beamspread.report;
