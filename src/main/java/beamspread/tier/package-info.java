/**
 * Membership among the nodes of a tier, or among agents: a failure detector and gossip protocol as
 * a pure state machine, for a network that may delay, duplicate, reorder or lose datagrams. Time
 * (nanoseconds of a monotonic clock), randomness (a seed) and datagrams are passed in and out;
 * there is no I/O. Depends on no other package of the project. See docs/design/0011-tier.md.
 */
package beamspread.tier;
