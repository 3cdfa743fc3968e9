/** The command line of operations: one root command, one class a subcommand. */
package beamspread.cli;
