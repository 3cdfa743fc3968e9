package beamspread.node.wire;

import io.netty.buffer.ByteBuf;

/**
 * One part of a large value.
 *
 * @param bytes the next bytes, empty at the end
 * @param last whether the value is complete, with the announced length and its CRLF
 */
public record ValuePart(ByteBuf bytes, boolean last) {}
