package beamspread.cli;

/** How results are written. */
enum Output {
  table,
  json
}
