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

/** What processes of one node see of one another, also of one that was killed. */
class SharedFolderTest {
  private static final SharedFolder.Shown STARTS =
      new SharedFolder.Shown(SharedFolder.Phase.STARTS, 0, 0, 0);

  @TempDir Path temporary;

  @Test
  void eachSeesWhatTheOtherHasTakenOutAndWhetherItTakesClients() throws IOException {
    Path folder = temporary.resolve("node");
    try (SharedFolder old = SharedFolder.open(folder)) {
      assertThat(old.look()).isEqualTo(new SharedFolder.Sight(Set.of(), List.of()));
      old.detach(-7);
      old.detach(-7);
      try (SharedFolder young = SharedFolder.open(folder)) {
        assertThat(young.look()).isEqualTo(new SharedFolder.Sight(Set.of(-7L), List.of(STARTS)));
        SharedFolder.Shown takes = new SharedFolder.Shown(SharedFolder.Phase.TAKES, 7, 300, 5);
        young.show(takes);
        assertThat(old.look()).isEqualTo(new SharedFolder.Sight(Set.of(-7L), List.of(takes)));
        assertThat(old.look().othersTake()).isTrue();
        young.show(new SharedFolder.Shown(SharedFolder.Phase.ENDS, 7, 300, 5));
        assertThat(old.look().othersTake()).isFalse();
        young.detach(8);
        young.attach(-7);
        young.attach(-7);
      }
      assertThat(old.look()).isEqualTo(new SharedFolder.Sight(Set.of(8L), List.of()));
    }
    try (SharedFolder next = SharedFolder.open(folder)) {
      assertThat(next.look()).isEqualTo(new SharedFolder.Sight(Set.of(8L), List.of()));
    }
  }

  @Test
  void whatAKilledProcessLeftIsClearedAwayAndForeignFilesAreNot() throws IOException {
    Path folder = temporary.resolve("node");
    try (SharedFolder here = SharedFolder.open(folder)) {
      // Nobody holds its lock, as after a kill.
      Path dead = Files.write(folder.resolve("process-1-1"), new byte[] {1});
      Path foreign = Files.createFile(folder.resolve("detached-zz"));
      assertThat(here.look()).isEqualTo(new SharedFolder.Sight(Set.of(), List.of()));
      assertThat(dead).doesNotExist();
      assertThat(foreign).exists();
    }
  }

  @Test
  void aNoteIsReadWholeWhileItIsFreshAndNonsenseIsNone() throws IOException {
    LearnedState learnt = new LearnedState(7.5, 180, 300, Map.of(-5L, 0.25, 6L, 1.0));
    byte[] note = LearntNote.write(1000, learnt);
    try (SharedFolder folder = SharedFolder.open(temporary.resolve("node"))) {
      assertThat(folder.learnt()).isNull();
      folder.leaveLearnt(note);
      folder.leaveLearnt(note);
      assertThat(LearntNote.read(1004, folder.learnt())).isEqualTo(learnt);
    }
    assertThat(LearntNote.read(1006, note)).as("too old").isNull();
    assertThat(LearntNote.read(990, note)).as("from a clock that went back").isNull();
    String text = new String(note, StandardCharsets.UTF_8);
    for (String bad :
        List.of(
            text.substring(0, text.length() / 2),
            text.replace("\"version\":1", "\"version\":2"),
            text.replace("7.5", "-1"),
            text.replace("180", "1e300"),
            text.replace("\"6\"", "\"zz\""),
            "")) {
      assertThat(LearntNote.read(1000, bad.getBytes(StandardCharsets.UTF_8))).as(bad).isNull();
    }
    assertThat(LearntNote.write(1, new LearnedState(1, Double.POSITIVE_INFINITY, 1, Map.of())))
        .isNull();
    assertThat(LearntNote.write(1, new LearnedState(0, 1, 1, Map.of()))).isNull();
  }

  @Test
  void aFolderThatOthersMayWriteToIsNotUsed() throws IOException {
    Path open = Files.createDirectory(temporary.resolve("open"));
    Files.setPosixFilePermissions(open, PosixFilePermissions.fromString("rwxrwxrwx"));
    assertThatThrownBy(() -> SharedFolder.open(open)).hasMessageContaining("mode 700");
    Path link = Files.createSymbolicLink(temporary.resolve("link"), temporary);
    assertThatThrownBy(() -> SharedFolder.open(link)).hasMessageContaining("mode 700");
  }
}
