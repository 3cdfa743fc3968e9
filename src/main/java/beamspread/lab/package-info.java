/**
 * A model of the fleet, to compare settings and variants before they run: discrete events on
 * virtual time, around the real decision module and the real decisions about connections, which are
 * not copied. {@link beamspread.lab.Timeline} orders the events, {@link beamspread.lab.Streams} has
 * a stream of random numbers for each cause, so that two variants see the same arrivals, work and
 * faults; {@link beamspread.lab.Emulator} assembles one run, {@link beamspread.lab.Comparison} says
 * whether two variants differ.
 */
package beamspread.lab;
