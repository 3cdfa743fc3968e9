/** An event loop: how long its turns take, and a look at one socket between two of them. */
package beamspread.loop;
