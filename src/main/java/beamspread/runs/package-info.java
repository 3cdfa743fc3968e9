/** Finished runs of the model, kept in a file of SQLite, so that an experiment can go on. */
package beamspread.runs;
