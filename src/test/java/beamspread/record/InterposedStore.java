package beamspread.record;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.sql.Connection;
import java.sql.SQLException;

/**
 * A store on whose connections something happens before they are opened and behind the end of a
 * transaction, which is where a connection commits by itself again: no lock is held then.
 */
final class InterposedStore implements Store {
  /** What happens in between. */
  interface Action {
    void run() throws Exception;
  }

  private final Store store;
  private final Action beforeConnect;
  private final Action afterCommit;

  InterposedStore(Store store, Action beforeConnect, Action afterCommit) {
    this.store = store;
    this.beforeConnect = beforeConnect;
    this.afterCommit = afterCommit;
  }

  /** A store on which something happens behind the first commit of a change, not of its tables. */
  static Store afterCommit(Store store, Action action) {
    boolean[] done = new boolean[1];
    return new InterposedStore(
        store,
        () -> {},
        () -> {
          if (!done[0] && isChange()) {
            done[0] = true;
            action.run();
          }
        });
  }

  private static boolean isChange() {
    return StackWalker.getInstance()
        .walk(frames -> frames.noneMatch(frame -> frame.getMethodName().equals("migrate")));
  }

  private static void run(Action action) throws SQLException {
    try {
      action.run();
    } catch (SQLException | RuntimeException e) {
      throw e;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public Connection connect() throws SQLException {
    run(beforeConnect);
    Connection real = store.connect();
    return (Connection)
        Proxy.newProxyInstance(
            InterposedStore.class.getClassLoader(),
            new Class<?>[] {Connection.class},
            (self, method, arguments) -> {
              try {
                Object result = method.invoke(real, arguments);
                if (method.getName().equals("setAutoCommit") && (boolean) arguments[0]) {
                  run(afterCommit);
                }
                return result;
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }

  @Override
  public String clock() {
    return store.clock();
  }

  @Override
  public String name() {
    return store.name();
  }

  @Override
  public void close() {
    store.close();
  }
}
