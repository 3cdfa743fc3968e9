package beamspread.node.variants;

import beamspread.variants.VariantFile;
import java.net.SocketAddress;

/**
 * A node's configuration for variant keys.
 *
 * @param file the contents of {@code variants.json}
 * @param agentAddress the address of the agent that has the table
 * @param token the bearer token for the agent; null for none
 */
public record VariantConfig(VariantFile file, SocketAddress agentAddress, String token) {}
