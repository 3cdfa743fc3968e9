package beamspread.scale;

import beamspread.standin.Discovery;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A stand-in discovery whose list changes by one server at a time, told as changes are. */
final class ListService implements AutoCloseable {
  private static final int FIRST_PORT = 20_000;
  private final Discovery discovery;
  private volatile int version = 1;
  private volatile int servers;

  ListService(EventLoop loop, int servers) throws IOException, InterruptedException {
    this.servers = servers;
    discovery = new Discovery(loop, this::whole);
  }

  Discovery discovery() {
    return discovery;
  }

  int servers() {
    return servers;
  }

  /** The whole list as it is now. */
  String whole() {
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      lines.add(line(i, "active"));
    }
    return list(true, lines);
  }

  private String list(boolean full, List<String> lines) {
    return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}"
        .formatted(version, full, String.join(",", lines));
  }

  private static String line(int number, String state) {
    return ("{\"id\":\"s-%08x\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"kind\":\"box\","
            + "\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":0}")
        .formatted(number * 0x9E3779B1, FIRST_PORT + number, number % 20, state);
  }

  /** One server comes, or the one that came last goes, in turn; tells all that watch. */
  void change(boolean comes) {
    version++;
    servers += comes ? 1 : -1;
    String line = comes ? line(servers - 1, "active") : line(servers, "left");
    discovery.tell(list(false, List.of(line)) + "\n");
  }

  @Override
  public void close() {
    discovery.close();
  }
}
