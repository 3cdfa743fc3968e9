/** Event loop support: turn times, immediate polling of one socket, and listening sockets. */
package beamspread.loop;
