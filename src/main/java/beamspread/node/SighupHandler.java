package beamspread.node;

import java.lang.reflect.Proxy;

/**
 * Runs an action on each SIGHUP. The JVM exits on a SIGHUP that is not handled. The JDK's signal
 * class is not part of the supported API, and naming it in the source causes compiler warnings, so
 * it is called by reflection; on a JVM without it only the reload on SIGHUP is missing.
 */
public final class SighupHandler {
  private SighupHandler() {}

  /**
   * Registers the action, which runs on a separate thread.
   *
   * @return false if the signal can't be handled: the JVM has no such class, or the parent process
   *     had the signal ignored, which the JVM preserves
   */
  public static boolean register(Runnable action) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              SighupHandler.class.getClassLoader(),
              new Class<?>[] {handlerClass},
              (self, method, arguments) ->
                  switch (method.getName()) {
                    case "handle" -> {
                      action.run();
                      yield null;
                    }
                    case "equals" -> self == arguments[0];
                    case "hashCode" -> System.identityHashCode(self);
                    default -> "SIGHUP handler";
                  });
      Object sighup = signalClass.getConstructor(String.class).newInstance("HUP");
      Object previous =
          signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, sighup, proxy);
      return previous != handlerClass.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      return false;
    }
  }
}
