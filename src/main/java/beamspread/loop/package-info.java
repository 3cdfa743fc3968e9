/** An event loop: how long its turns take, a look at one socket between two, and how it listens. */
package beamspread.loop;
