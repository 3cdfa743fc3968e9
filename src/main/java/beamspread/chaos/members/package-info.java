/**
 * Members of a tier on virtual time, over links that fail: the real state machine, and two plain
 * ways of membership as baselines of our own, under the same faults. Uses {@code tier} and the
 * decisions of {@code chaos}.
 */
package beamspread.chaos.members;
