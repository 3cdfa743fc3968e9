package beamspread;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Measures the sizes of all collections reachable from an object, by the class and field that own
 * them. Only fields of the project's own classes are inspected; of library classes only maps and
 * collections are followed.
 */
public final class RetainedSizes {
  private final Map<String, Integer> sizes = new TreeMap<>();
  private final Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
  private final ArrayDeque<Reference> pending = new ArrayDeque<>();

  /** An object, and the field that refers to it. */
  private record Reference(Object value, String owner) {}

  private RetainedSizes() {}

  /** Returns the largest size for each owner, such as "Balancer.pending". */
  public static Map<String, Integer> maxSizesByOwner(Object root) {
    RetainedSizes retained = new RetainedSizes();
    retained.pending.add(new Reference(root, "root"));
    while (!retained.pending.isEmpty()) {
      retained.visit(retained.pending.remove());
    }
    return retained.sizes;
  }

  private void visit(Reference reference) {
    Object value = reference.value();
    if (value == null || !seen.add(value)) {
      return;
    }
    if (value instanceof Map<?, ?> map) {
      sizes.merge(reference.owner(), map.size(), Math::max);
      map.forEach(
          (key, element) -> {
            pending.add(new Reference(key, reference.owner()));
            pending.add(new Reference(element, reference.owner()));
          });
    } else if (value instanceof Collection<?> collection) {
      sizes.merge(reference.owner(), collection.size(), Math::max);
      collection.forEach(element -> pending.add(new Reference(element, reference.owner())));
    } else if (value.getClass().isArray()) {
      if (!value.getClass().getComponentType().isPrimitive()) {
        for (int i = 0; i < Array.getLength(value); i++) {
          pending.add(new Reference(Array.get(value, i), reference.owner()));
        }
      }
    } else if (value.getClass().getName().startsWith("beamspread.")) {
      for (Class<?> type = value.getClass(); type != null; type = type.getSuperclass()) {
        if (type.getName().startsWith("beamspread.")) {
          visitFields(value, type);
        }
      }
    }
  }

  private void visitFields(Object value, Class<?> declaringClass) {
    for (Field field : declaringClass.getDeclaredFields()) {
      if (field.getType().isPrimitive() || Modifier.isStatic(field.getModifiers())) {
        continue;
      }
      try {
        field.setAccessible(true);
        pending.add(
            new Reference(
                field.get(value), declaringClass.getSimpleName() + "." + field.getName()));
      } catch (ReflectiveOperationException e) {
        throw new AssertionError(e);
      }
    }
  }
}
