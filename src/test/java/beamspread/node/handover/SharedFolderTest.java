package beamspread.node.handover;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import beamspread.model.LearnedState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** State that processes of one node share through a folder, also after one was killed. */
class SharedFolderTest {
  private static final SharedFolder.ProcessStatus STARTING =
      new SharedFolder.ProcessStatus(SharedFolder.Phase.STARTS, 0, 0, 0);

  @TempDir Path temporary;

  @Test
  void processesSeeEachOthersDetachedServersAndPhase() throws IOException {
    Path folder = temporary.resolve("node");
    try (SharedFolder predecessor = SharedFolder.open(folder)) {
      assertThat(predecessor.scan()).isEqualTo(new SharedFolder.Snapshot(Set.of(), List.of()));
      predecessor.detach(-7);
      predecessor.detach(-7);
      try (SharedFolder successor = SharedFolder.open(folder)) {
        assertThat(successor.scan())
            .isEqualTo(new SharedFolder.Snapshot(Set.of(-7L), List.of(STARTING)));
        SharedFolder.ProcessStatus accepting =
            new SharedFolder.ProcessStatus(SharedFolder.Phase.TAKES, 7, 300, 5);
        successor.publish(accepting);
        assertThat(predecessor.scan())
            .isEqualTo(new SharedFolder.Snapshot(Set.of(-7L), List.of(accepting)));
        assertThat(predecessor.scan().otherAcceptsClients()).isTrue();
        successor.publish(new SharedFolder.ProcessStatus(SharedFolder.Phase.ENDS, 7, 300, 5));
        assertThat(predecessor.scan().otherAcceptsClients()).isFalse();
        successor.detach(8);
        successor.attach(-7);
        successor.attach(-7);
      }
      assertThat(predecessor.scan()).isEqualTo(new SharedFolder.Snapshot(Set.of(8L), List.of()));
    }
    try (SharedFolder reopened = SharedFolder.open(folder)) {
      assertThat(reopened.scan()).isEqualTo(new SharedFolder.Snapshot(Set.of(8L), List.of()));
    }
  }

  @Test
  void deletesFilesOfKilledProcessesButNotForeignFiles() throws IOException {
    Path folder = temporary.resolve("node");
    try (SharedFolder shared = SharedFolder.open(folder)) {
      // The file is not locked, as after its process was killed.
      Path killed = Files.write(folder.resolve("process-1-1"), new byte[] {1});
      Path foreign = Files.createFile(folder.resolve("detached-zz"));
      assertThat(shared.scan()).isEqualTo(new SharedFolder.Snapshot(Set.of(), List.of()));
      assertThat(killed).doesNotExist();
      assertThat(foreign).exists();
    }
  }

  @Test
  void readsFreshLearntStateAndIgnoresStaleOrMalformedOne() throws IOException {
    LearnedState learnt = new LearnedState(7.5, 180, 300, Map.of(-5L, 0.25, 6L, 1.0));
    byte[] bytes = LearnedStateJson.write(1000, learnt);
    try (SharedFolder folder = SharedFolder.open(temporary.resolve("node"))) {
      assertThat(folder.readLearned()).isNull();
      folder.writeLearned(bytes);
      folder.writeLearned(bytes);
      assertThat(LearnedStateJson.read(1004, folder.readLearned())).isEqualTo(learnt);
    }
    assertThat(LearnedStateJson.read(1006, bytes)).as("too old").isNull();
    assertThat(LearnedStateJson.read(990, bytes))
        .as("written before the clock was set back")
        .isNull();
    String text = new String(bytes, StandardCharsets.UTF_8);
    for (String malformed :
        List.of(
            text.substring(0, text.length() / 2),
            text.replace("\"version\":1", "\"version\":2"),
            text.replace("7.5", "-1"),
            text.replace("180", "1e300"),
            text.replace("\"6\"", "\"zz\""),
            "")) {
      assertThat(LearnedStateJson.read(1000, malformed.getBytes(StandardCharsets.UTF_8)))
          .as(malformed)
          .isNull();
    }
    assertThat(
            LearnedStateJson.write(1, new LearnedState(1, Double.POSITIVE_INFINITY, 1, Map.of())))
        .isNull();
    assertThat(LearnedStateJson.write(1, new LearnedState(0, 1, 1, Map.of()))).isNull();
  }

  @Test
  void rejectsFolderThatOtherUsersCanWriteTo() throws IOException {
    Path open = Files.createDirectory(temporary.resolve("open"));
    Files.setPosixFilePermissions(open, PosixFilePermissions.fromString("rwxrwxrwx"));
    assertThatThrownBy(() -> SharedFolder.open(open)).hasMessageContaining("mode 700");
    Path link = Files.createSymbolicLink(temporary.resolve("link"), temporary);
    assertThatThrownBy(() -> SharedFolder.open(link)).hasMessageContaining("mode 700");
  }
}
