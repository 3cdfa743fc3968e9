package beamspread.variants;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the operators' file says.
 *
 * @param rows by family, the sets of classes that are the same
 */
public record VariantFile(
    VariantSettings settings, VariantRules rules, Map<String, List<Set<String>>> rows) {}
