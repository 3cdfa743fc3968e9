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
 * A folder that all processes of one node share. Each process keeps a file of its own locked while
 * it runs. The operating system releases the lock however the process ends, so that the file of a
 * killed process can be told from that of a running one. A detached server is represented by an
 * empty file named by its number, so that concurrent writers do not conflict and no partly written
 * file can be read.
 */
public final class SharedFolder implements AutoCloseable {
  private static final String PROCESS_PREFIX = "process-";
  private static final String DETACHED_PREFIX = "detached-";
  private static final String LEARNT_NAME = "learnt";
  private static final String REQUEST_IDS_NAME = "request-ids";

  /** Maximum size of learnt state; a larger file was not written by a node. */
  private static final int MAX_LEARNT_BYTES = 1 << 20;

  /** Maximum files read in one scan, to keep it short; a node writes far fewer. */
  private static final int MAX_FILES_PER_SCAN = 8192;

  /** The phase of a process's life. */
  public enum Phase {
    /** The process has started and does not accept clients yet. */
    STARTS,
    /** The process accepts clients. */
    TAKES,
    /** The process answers its open requests and accepts no clients any more. */
    ENDS
  }

  /**
   * The state that a process publishes to the others.
   *
   * @param phase the phase of the process
   * @param clientConnections number of its client connections
   * @param serverConnections number of its sockets to cache servers
   * @param openRequests number of its open requests
   */
  public record ProcessStatus(
      Phase phase, int clientConnections, int serverConnections, int openRequests) {
    /** A byte for the phase and three ints. */
    static final int ENCODED_BYTES = 13;
  }

  /**
   * The contents of the folder at one time.
   *
   * @param detachedServers the numbers of the detached servers
   * @param otherProcesses the states of the other running processes of this node
   */
  public record Snapshot(Set<Long> detachedServers, List<ProcessStatus> otherProcesses) {
    /** Returns whether another process accepts clients. */
    public boolean otherAcceptsClients() {
      return otherProcesses.stream().anyMatch(other -> other.phase() == Phase.TAKES);
    }
  }

  private final Path folder;
  private final Path ownFile;
  private final FileChannel channel;
  private final FileLock lock;

  private SharedFolder(Path folder, Path ownFile, FileChannel channel, FileLock lock) {
    this.folder = folder;
    this.ownFile = ownFile;
    this.channel = channel;
    this.lock = lock;
  }

  /**
   * Opens the folder, creating it if necessary, and creates and locks this process's file.
   *
   * @throws IOException if the folder can't be used, or if other users have access to it
   */
  public static SharedFolder open(Path folder) throws IOException {
    Set<PosixFilePermission> ownerOnly = PosixFilePermissions.fromString("rwx------");
    try {
      Files.createDirectory(folder, PosixFilePermissions.asFileAttribute(ownerOnly));
    } catch (FileAlreadyExistsException e) {
      // In a parent folder with write access for all, another user may have created the folder.
      if (!Files.isDirectory(folder, LinkOption.NOFOLLOW_LINKS)
          || !Files.getPosixFilePermissions(folder, LinkOption.NOFOLLOW_LINKS).equals(ownerOnly)) {
        throw new IOException(
            folder + " is not a folder that only this user can access (mode 700)");
      }
    }
    Path ownFile =
        folder.resolve(PROCESS_PREFIX + ProcessHandle.current().pid() + "-" + System.nanoTime());
    FileChannel channel =
        FileChannel.open(ownFile, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    FileLock lock = channel.tryLock();
    if (lock == null) {
      channel.close();
      throw new IOException(ownFile + " cannot be locked");
    }
    return new SharedFolder(folder, ownFile, channel, lock);
  }

  /** Publishes the state of this process to the others. */
  public void publish(ProcessStatus status) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(ProcessStatus.ENCODED_BYTES);
    bytes
        .put((byte) status.phase().ordinal())
        .putInt(status.clientConnections())
        .putInt(status.serverConnections());
    bytes.putInt(status.openRequests()).flip();
    channel.write(bytes, 0);
  }

  /** Reads the folder, and deletes the files of processes that have ended. */
  public Snapshot scan() throws IOException {
    Set<Long> detached = new HashSet<>();
    List<ProcessStatus> others = new ArrayList<>();
    int files = 0;
    try (DirectoryStream<Path> entries = Files.newDirectoryStream(folder)) {
      for (Path file : entries) {
        String name = file.getFileName().toString();
        if (++files > MAX_FILES_PER_SCAN) {
          break;
        }
        if (name.startsWith(DETACHED_PREFIX)) {
          addServerNumber(name, detached);
        } else if (name.startsWith(PROCESS_PREFIX) && !file.equals(ownFile)) {
          ProcessStatus status = readStatus(file);
          if (status != null) {
            others.add(status);
          }
        }
      }
    } catch (DirectoryIteratorException e) {
      throw e.getCause();
    }
    return new Snapshot(detached, others);
  }

  private static void addServerNumber(String name, Set<Long> servers) {
    try {
      servers.add(Long.parseUnsignedLong(name.substring(DETACHED_PREFIX.length()), 16));
    } catch (NumberFormatException e) {
      // Not written by a node: neither read nor deleted.
    }
  }

  /** Returns the state of a running process; deletes the file and returns null if it has ended. */
  private static ProcessStatus readStatus(Path file) throws IOException {
    try (FileChannel other =
        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      if (!isLocked(other)) {
        Files.deleteIfExists(file);
        return null;
      }
      ByteBuffer bytes = ByteBuffer.allocate(ProcessStatus.ENCODED_BYTES);
      if (other.read(bytes, 0) < ProcessStatus.ENCODED_BYTES
          || bytes.get(0) >= Phase.values().length) {
        return new ProcessStatus(Phase.STARTS, 0, 0, 0);
      }
      bytes.flip();
      return new ProcessStatus(
          Phase.values()[bytes.get()], bytes.getInt(), bytes.getInt(), bytes.getInt());
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  private static boolean isLocked(FileChannel other) throws IOException {
    try {
      return other.tryLock() == null;
    } catch (OverlappingFileLockException e) {
      return true; // Locked by another node in this JVM, as in tests.
    }
  }

  private Path detachedFile(long server) {
    return folder.resolve(DETACHED_PREFIX + Long.toHexString(server));
  }

  /** Replaces the learnt state atomically. */
  public void writeLearned(byte[] bytes) throws IOException {
    Path target = folder.resolve(LEARNT_NAME);
    Path temporary = folder.resolve(LEARNT_NAME + "-" + ProcessHandle.current().pid());
    Files.write(temporary, bytes);
    Files.move(
        temporary, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Returns the learnt state that was written last; null if there is none or it is too large. */
  public byte[] readLearned() throws IOException {
    Path file = folder.resolve(LEARNT_NAME);
    try {
      return Files.size(file) > MAX_LEARNT_BYTES ? null : Files.readAllBytes(file);
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  /** Opens the ids of requests, which all processes of the node claim in one place. */
  public RequestIds openRequestIds() throws IOException {
    SharedRequestIds ids = SharedRequestIds.open(folder.resolve(REQUEST_IDS_NAME));
    if (scan().otherProcesses().isEmpty()) {
      // What a killed process had open may come again to this one.
      ids.releaseRepeatable();
    }
    return ids;
  }

  /** Records that a server is detached; does nothing if it is already. */
  public void detach(long server) throws IOException {
    try {
      Files.createFile(detachedFile(server));
    } catch (FileAlreadyExistsException e) {
      // Already recorded by another process of this node or by an earlier call.
    }
  }

  /** Records that a server is attached again. */
  public void attach(long server) throws IOException {
    Files.deleteIfExists(detachedFile(server));
  }

  /** Deletes this process's file and releases its lock. Detached servers stay recorded. */
  @Override
  public void close() throws IOException {
    try {
      Files.deleteIfExists(ownFile);
    } finally {
      lock.close();
      channel.close();
    }
  }
}
