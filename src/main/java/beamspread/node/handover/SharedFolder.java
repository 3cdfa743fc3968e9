package beamspread.node.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A folder that all processes of one node share. Each has a file of its own, locked for as long as
 * it lives: the system lets go of the lock whatever ends the process, so that what a killed one
 * leaves behind is told from one that runs. A server that is taken out is one empty file, named by
 * its number: two processes that write at the same time spoil nothing, and no half file can be
 * read.
 */
public final class SharedFolder implements AutoCloseable {
  private static final String PROCESS = "process-";
  private static final String DETACHED = "detached-";
  private static final String LEARNT = "learnt";

  /** A note of more bytes than this is none of ours. */
  private static final int LONGEST_NOTE = 1 << 20;

  /** Files looked at in one go: far above what a node writes, so that a look stays short. */
  private static final int MOST_FILES = 8192;

  /** What a process is at. */
  public enum Phase {
    /** It has begun and takes no clients yet. */
    STARTS,
    TAKES,
    /** It answers what it has taken, and takes no more. */
    ENDS
  }

  /**
   * What a process shows the others of itself.
   *
   * @param phase what it is at
   * @param clients connections of clients that it holds
   * @param servers sockets to cache servers that it holds
   * @param open requests that it has taken and not answered
   */
  public record Shown(Phase phase, int clients, int servers, int open) {
    static final int BYTES = 13;
  }

  /**
   * What a look has found.
   *
   * @param detached servers that are taken out, by their numbers
   * @param others what the other living processes of this node show
   */
  public record Sight(Set<Long> detached, List<Shown> others) {
    /** Whether another process takes clients. */
    public boolean othersTake() {
      return others.stream().anyMatch(other -> other.phase() == Phase.TAKES);
    }
  }

  private final Path folder;
  private final Path own;
  private final FileChannel channel;
  private final FileLock lock;

  private SharedFolder(Path folder, Path own, FileChannel channel, FileLock lock) {
    this.folder = folder;
    this.own = own;
    this.channel = channel;
    this.lock = lock;
  }

  /**
   * Opens the folder, making it if need be, and shows that this process lives.
   *
   * @throws IOException if it can't be used, or is not this user's alone
   */
  public static SharedFolder open(Path folder) throws IOException {
    Set<PosixFilePermission> mine = PosixFilePermissions.fromString("rwx------");
    try {
      Files.createDirectory(folder, PosixFilePermissions.asFileAttribute(mine));
    } catch (FileAlreadyExistsException e) {
      // Guards against a folder that another user has put where all may write.
      if (!Files.isDirectory(folder, LinkOption.NOFOLLOW_LINKS)
          || !Files.getPosixFilePermissions(folder, LinkOption.NOFOLLOW_LINKS).equals(mine)) {
        throw new IOException(folder + " is not a folder for this user alone (mode 700)");
      }
    }
    Path own = folder.resolve(PROCESS + ProcessHandle.current().pid() + "-" + System.nanoTime());
    FileChannel channel =
        FileChannel.open(own, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    FileLock lock = channel.tryLock();
    if (lock == null) {
      channel.close();
      throw new IOException(own + " cannot be locked");
    }
    return new SharedFolder(folder, own, channel, lock);
  }

  /** Shows the others what this process is at. */
  public void show(Shown now) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(Shown.BYTES);
    bytes.put((byte) now.phase().ordinal()).putInt(now.clients()).putInt(now.servers());
    bytes.putInt(now.open()).flip();
    channel.write(bytes, 0);
  }

  /** Looks at what is there now; clears away what processes left that have ended. */
  public Sight look() throws IOException {
    Set<Long> detached = new HashSet<>();
    List<Shown> others = new ArrayList<>();
    int files = 0;
    try (DirectoryStream<Path> all = Files.newDirectoryStream(folder)) {
      for (Path file : all) {
        String name = file.getFileName().toString();
        if (++files > MOST_FILES) {
          break;
        }
        if (name.startsWith(DETACHED)) {
          number(name, detached);
        } else if (name.startsWith(PROCESS) && !file.equals(own)) {
          Shown shown = shown(file);
          if (shown != null) {
            others.add(shown);
          }
        }
      }
    } catch (DirectoryIteratorException e) {
      throw e.getCause();
    }
    return new Sight(detached, others);
  }

  private static void number(String name, Set<Long> into) {
    try {
      into.add(Long.parseUnsignedLong(name.substring(DETACHED.length()), 16));
    } catch (NumberFormatException e) {
      // A file of somebody else's: not ours to read or to clear away.
    }
  }

  /** What a living process shows, null if it lives no more. */
  private static Shown shown(Path file) throws IOException {
    try (FileChannel other =
        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      if (!locked(other)) {
        Files.deleteIfExists(file);
        return null;
      }
      ByteBuffer bytes = ByteBuffer.allocate(Shown.BYTES);
      if (other.read(bytes, 0) < Shown.BYTES || bytes.get(0) >= Phase.values().length) {
        return new Shown(Phase.STARTS, 0, 0, 0);
      }
      bytes.flip();
      return new Shown(Phase.values()[bytes.get()], bytes.getInt(), bytes.getInt(), bytes.getInt());
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  private static boolean locked(FileChannel other) throws IOException {
    try {
      return other.tryLock() == null;
    } catch (OverlappingFileLockException e) {
      return true; // Another node of this same process, as in tests.
    }
  }

  private Path detachedFile(long server) {
    return folder.resolve(DETACHED + Long.toHexString(server));
  }

  /** Leaves a note of what this process has learnt; a reader finds a whole one or none. */
  public void leaveLearnt(byte[] note) throws IOException {
    Path whole = folder.resolve(LEARNT);
    Path next = folder.resolve(LEARNT + "-" + ProcessHandle.current().pid());
    Files.write(next, note);
    Files.move(next, whole, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** The note that was left last, null if there is none. */
  public byte[] learnt() throws IOException {
    Path whole = folder.resolve(LEARNT);
    try {
      return Files.size(whole) > LONGEST_NOTE ? null : Files.readAllBytes(whole);
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  /** Puts on record that a server is taken out, if it is not yet. */
  public void detach(long server) throws IOException {
    try {
      Files.createFile(detachedFile(server));
    } catch (FileAlreadyExistsException e) {
      // Another process of this node, or an earlier call, was first.
    }
  }

  /** Puts on record that a server is back. */
  public void attach(long server) throws IOException {
    Files.deleteIfExists(detachedFile(server));
  }

  /** Shows the others that this process is gone. What is taken out stays on record. */
  @Override
  public void close() throws IOException {
    try {
      Files.deleteIfExists(own);
    } finally {
      lock.close();
      channel.close();
    }
  }
}
