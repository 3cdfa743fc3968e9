package beamspread.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class StoreServerTest {
  private static final WriteDesk.Limits LIMITS = new WriteDesk.Limits(100, 16, 30_000_000_000L);

  @TempDir private Path folder;
  private StoreServer server;
  private Socket socket;
  private BufferedReader in;

  private SheetStore store(String name) throws SheetsException {
    IdWindow window = new IdWindow(60_000);
    return new SheetStore(
        new SqliteSheets(folder.resolve(name), window, System::currentTimeMillis), LIMITS);
  }

  @BeforeEach
  void start() throws Exception {
    server =
        new StoreServer(store("s.db"), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    socket = new Socket(server.address().getAddress(), server.address().getPort());
    socket.setSoTimeout(30_000);
    in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
  }

  @AfterEach
  void end() throws IOException {
    socket.close();
    server.close();
  }

  private void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private String line() throws IOException {
    return in.readLine();
  }

  @Test
  void sheetsAreWrittenReadAndWrittenOnceByTheirKeyOfIdempotency() throws Exception {
    send("mg square-1 v O1 Pd=20000\r\n");
    assertThat(line()).isEqualTo("EN");
    send("ms square-1 5 O2 Pc=put,k=abc,d=20000\r\nhello\r\n");
    assertThat(line()).isEqualTo("HD O2 c1");
    send("ms square-1 5 O3 Pc=put,k=abc,r=1,d=20000\r\nhello\r\n");
    assertThat(line()).as("the first receipt").isEqualTo("HD O3 c1");
    send("ms square-1 5 O4 Pc=put,d=20000\r\nworld\r\n");
    assertThat(line()).isEqualTo("HD O4 c2");
    send("mg square-1 v O5 Pd=20000\r\n");
    assertThat(line()).isEqualTo("VA 5 O5");
    assertThat(line()).isEqualTo("world");
  }

  @Test
  void answersComeInTheOrderOfTheCommandsHoweverTheyAreCut() throws Exception {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < 200; i++) {
      all.append("ms k").append(i).append(" 2 Ow").append(i).append(" Pd=20000\r\nv\n\r\n");
      all.append("mg absent v Or").append(i).append(" Pd=20000\r\n");
    }
    for (int at = 0; at < all.length(); at += 7) {
      send(all.substring(at, Math.min(at + 7, all.length())));
    }
    for (int i = 0; i < 200; i++) {
      assertThat(line()).startsWith("HD Ow" + i + " c");
      assertThat(line()).isEqualTo("EN");
    }
  }

  @Test
  void aBurstOnOneConnectionWaitsThereAndFillsNoQueue() throws Exception {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < 2000; i++) {
      all.append("ms k").append(i).append(" 1 Ow").append(i).append(" Pd=20000\r\nv\r\n");
    }
    send(all.toString());
    for (int i = 0; i < 2000; i++) {
      assertThat(line()).startsWith("HD Ow" + i + " c");
    }
  }

  @Test
  void whatMakesNoSenseIsNamedAndWhatCannotBeToldApartEndsTheConnection() throws Exception {
    send("get x\r\nmg \r\nms k 1 Pd=20000\r\na\r\nmg k v O1 Pd=0\r\nmg k v O2 Pd=20000\r\n");
    assertThat(line()).isEqualTo("CLIENT_ERROR unknown command");
    assertThat(line()).isEqualTo("CLIENT_ERROR bad key");
    assertThat(line()).isEqualTo("CLIENT_ERROR a write needs an id");
    assertThat(line()).isEqualTo("CLIENT_ERROR bad deadline");
    assertThat(line()).isEqualTo("EN");
    send("ms k 99999999 O3\r\n");
    assertThat(line()).isEqualTo("CLIENT_ERROR bad data length");
    assertThat(line()).as("closed").isNull();
  }

  @Test
  void aPortInUseIsNamedAndTheFileIsFreeAgain() throws Exception {
    assertThatThrownBy(() -> new StoreServer(store("t.db"), server.address()))
        .hasMessageContaining("cannot listen on");
    store("t.db").close();
  }
}
