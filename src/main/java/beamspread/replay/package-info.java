/**
 * The model's experiments on loopback: the same requests at real nodes, before stand-in boxes of
 * known speed, open loop. {@link beamspread.replay.Replay} plays one run and gives the figures that
 * the model gives of it, {@link beamspread.replay.Prediction} puts the two beside each other. The
 * boxes are {@code standin}'s and share no code with the model's.
 */
package beamspread.replay;
