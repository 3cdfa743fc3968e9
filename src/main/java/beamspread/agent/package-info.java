/**
 * The agent beside the instances of one machine. {@link beamspread.agent.InstanceMachine} and
 * {@link beamspread.agent.InstanceLeases} decide, free of I/O and with the time passed in: what is
 * done to an instance and how that is judged, and who may act on it. {@link
 * beamspread.agent.AgentCore} owns them all on one thread and carries out what they decide; {@link
 * beamspread.agent.RecordKeeper} owns the record on another, so that a slow disk holds up no
 * supervision; {@link beamspread.agent.AgentServer} is the API's front.
 */
package beamspread.agent;
