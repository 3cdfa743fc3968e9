package beamspread.node.variants;

import beamspread.variants.VariantFile;
import java.net.SocketAddress;

/**
 * A node's part in variant keys.
 *
 * @param file what the operators' file says
 * @param agent where the table is asked for
 * @param token what the agent wants to be shown; null for nothing
 */
public record VariantPart(VariantFile file, SocketAddress agent, String token) {}
