package beamspread.variants;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Contents of the operators' variants file.
 *
 * @param rows the sets of equivalent classes, by family
 */
public record VariantFile(
    VariantSettings settings, VariantRules rules, Map<String, List<Set<String>>> rows) {}
