package beamspread.node;

import java.lang.reflect.Proxy;

/**
 * Runs a step at each SIGHUP. The virtual machine ends on one that nobody handles. The class that
 * takes signals is not part of the platform's stable interface, and warned of where it is named in
 * the source: hence by reflection, and a machine without it only loses the reload.
 */
public final class Hangup {
  private Hangup() {}

  /**
   * Has the step run on a thread of its own; false where the signal can't be taken: the machine has
   * no such class, or whoever started this process had the signal ignored, which the machine keeps.
   */
  public static boolean handle(Runnable step) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              Hangup.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) ->
                  switch (method.getName()) {
                    case "handle" -> {
                      step.run();
                      yield null;
                    }
                    case "equals" -> self == arguments[0];
                    case "hashCode" -> System.identityHashCode(self);
                    default -> "SIGHUP handler";
                  });
      Object hup = signal.getConstructor(String.class).newInstance("HUP");
      Object before = signal.getMethod("handle", signal, handler).invoke(null, hup, proxy);
      return before != handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      return false;
    }
  }
}
