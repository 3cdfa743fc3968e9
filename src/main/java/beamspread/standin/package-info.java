/**
 * Stand-ins for what the program talks to, for its tests, its measurements and the demo: they
 * listen on loopback, and fail on command.
 */
package beamspread.standin;
