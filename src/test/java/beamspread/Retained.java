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
 * How much the collections hold that hang on an object, by the class and field that own them. Looks
 * into the project's own classes only; of a library's it follows maps and collections.
 */
public final class Retained {
  private final Map<String, Integer> sizes = new TreeMap<>();
  private final Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
  private final ArrayDeque<Held> todo = new ArrayDeque<>();

  /** An object, and the field that it hangs on. */
  private record Held(Object value, String owner) {}

  private Retained() {}

  /** The greatest size under each name, as "Balancer.pending". */
  public static Map<String, Integer> by(Object root) {
    Retained retained = new Retained();
    retained.todo.add(new Held(root, "root"));
    while (!retained.todo.isEmpty()) {
      retained.visit(retained.todo.remove());
    }
    return retained.sizes;
  }

  private void visit(Held held) {
    Object value = held.value();
    if (value == null || !seen.add(value)) {
      return;
    }
    if (value instanceof Map<?, ?> map) {
      sizes.merge(held.owner(), map.size(), Math::max);
      map.forEach(
          (key, one) -> {
            todo.add(new Held(key, held.owner()));
            todo.add(new Held(one, held.owner()));
          });
    } else if (value instanceof Collection<?> all) {
      sizes.merge(held.owner(), all.size(), Math::max);
      all.forEach(one -> todo.add(new Held(one, held.owner())));
    } else if (value.getClass().isArray()) {
      if (!value.getClass().getComponentType().isPrimitive()) {
        for (int i = 0; i < Array.getLength(value); i++) {
          todo.add(new Held(Array.get(value, i), held.owner()));
        }
      }
    } else if (value.getClass().getName().startsWith("beamspread.")) {
      for (Class<?> type = value.getClass(); type != null; type = type.getSuperclass()) {
        if (type.getName().startsWith("beamspread.")) {
          fields(value, type);
        }
      }
    }
  }

  private void fields(Object value, Class<?> type) {
    for (Field field : type.getDeclaredFields()) {
      if (field.getType().isPrimitive() || Modifier.isStatic(field.getModifiers())) {
        continue;
      }
      try {
        field.setAccessible(true);
        todo.add(new Held(field.get(value), type.getSimpleName() + "." + field.getName()));
      } catch (ReflectiveOperationException e) {
        throw new AssertionError(e);
      }
    }
  }
}
