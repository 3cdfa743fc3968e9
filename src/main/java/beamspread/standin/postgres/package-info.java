/**
 * A stand-in for a PostgreSQL server: its frontend/backend protocol 3.0 (PostgreSQL documentation,
 * chapter "Frontend/Backend Protocol") over loopback, with statements run on an SQLite database in
 * memory, and faults on command. It knows what the project's own statements and pgjdbc need, and
 * answers anything else with an error of its SQLSTATE. One transaction runs at a time, as if each
 * locked the whole database.
 */
package beamspread.standin.postgres;
