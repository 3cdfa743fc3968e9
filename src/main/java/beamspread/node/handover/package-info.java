/**
 * The folder that two processes of one node share while a new version takes over from an old one.
 * File access blocks, but it is limited to a few calls on a small local folder.
 */
package beamspread.node.handover;
