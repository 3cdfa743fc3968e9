package beamspread.replay;

import beamspread.fleet.api.Json;
import beamspread.lab.Fleet;
import beamspread.lab.Streams;
import beamspread.lab.Work;
import beamspread.standin.BoxServer;
import beamspread.standin.CentralStore;
import beamspread.standin.Discovery;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import org.apache.commons.rng.UniformRandomProvider;

/** The stand-ins of one run: a fleet's boxes, its central database, and the list of servers. */
final class ReplayStage implements AutoCloseable {
  final CentralStore store;
  final List<BoxServer> boxes = new ArrayList<>();
  final Discovery discovery;
  private final Fleet fleet;
  private final List<Fleet.BoxKind> kinds = new ArrayList<>();
  private final Map<Integer, Long> startedMillis = new LinkedHashMap<>();
  private final Set<Integer> drains = new HashSet<>();
  private int version = 2;

  ReplayStage(EventLoop loop, Fleet fleet, long seed) throws IOException, InterruptedException {
    this.fleet = fleet;
    Streams streams = new Streams(seed);
    Work distribution = fleet.load().distribution();
    UniformRandomProvider fetches = streams.of("origin");
    store =
        new CentralStore(
            loop,
            fleet.origin().cores(),
            fleet.origin().queue(),
            () -> distribution.nanos(fetches, fleet.origin().work()));
    try {
      for (Fleet.BoxKind kind : fleet.boxes()) {
        for (int i = 0; i < kind.count(); i++) {
          UniformRandomProvider random = streams.of("box" + boxes.size());
          LongSupplier work = () -> distribution.nanos(random, fleet.load().work());
          boxes.add(
              new BoxServer(
                  loop,
                  new BoxServer.Kind(
                      kind.cores(),
                      kind.speed(),
                      kind.queue(),
                      kind.connections(),
                      (long) (kind.handshake() * 1e9),
                      kind.keys()),
                  store,
                  work));
          kinds.add(kind);
        }
      }
      discovery = new Discovery(loop, () -> Json.text(list()));
    } catch (IOException | InterruptedException e) {
      boxes.forEach(BoxServer::close);
      throw e;
    }
  }

  /** The list as it is now. */
  Map<String, Object> list() {
    List<Object> servers = new ArrayList<>();
    for (int i = 0; i < boxes.size(); i++) {
      servers.add(
          NodeText.server(
              Fleet.boxName(i),
              boxes.get(i).address(),
              Fleet.zone(i % fleet.zones()),
              kinds.get(i),
              startedMillis.getOrDefault(i, 0L),
              drains.contains(i) ? "draining" : "active"));
    }
    Map<String, Object> list = new LinkedHashMap<>();
    list.put("version", version);
    list.put("full", true);
    list.put("servers", servers);
    return list;
  }

  /** Has the list tell that a box drains. */
  void draining(int box) {
    drains.add(box);
    version++;
    discovery.tell();
  }

  /** Has the list tell that a box started anew. */
  void started(int box, long epochMillis) {
    startedMillis.put(box, epochMillis);
    drains.remove(box);
    version++;
    discovery.tell();
  }

  long sum(ToLongFunction<BoxServer> figure) {
    return boxes.stream().mapToLong(figure).sum();
  }

  @Override
  public void close() {
    discovery.close();
    boxes.forEach(BoxServer::close);
  }
}
