package beamspread.node.discovery;

import beamspread.sim.WireException;
import io.netty.buffer.ByteBuf;

/**
 * Finds the end of each JSON object in a stream of objects. Whitespace and line ends may occur
 * within and between objects, since lists may be indented. Each byte is examined once.
 *
 * <p>An object that was cut off would swallow what follows it while the scanner waits for its end.
 * Therefore an empty line (the heartbeat of a watch) or a raw line end in a string is an error
 * within an object.
 */
final class JsonObjectScanner {
  private int depth;
  private boolean inString;
  private boolean afterBackslash;
  private boolean atLineStart;

  /** Returns whether the bytes scanned so far end outside of an object. */
  boolean isBetweenObjects() {
    return depth == 0;
  }

  /**
   * Scans the bytes that were received since the last call.
   *
   * @param from the index of the first byte that was not scanned yet
   * @return the index after the first object that ends, from which to continue; -1 if none ends
   * @throws WireException if the bytes are not the beginning of a stream of JSON objects
   */
  int findObjectEnd(ByteBuf buffer, int from) throws WireException {
    for (int i = from; i < buffer.writerIndex(); i++) {
      byte b = buffer.getByte(i);
      if (inString) {
        scanInString(b);
      } else if (b == '\n') {
        if (atLineStart && depth > 0) {
          throw new WireException("incomplete list: empty line within an object");
        }
        atLineStart = true;
      } else if (b != '\r') {
        atLineStart = false;
        scanOutsideString(b);
        if (depth == 0 && b == '}') {
          return i + 1;
        }
      }
    }
    return -1;
  }

  private void scanInString(byte b) throws WireException {
    if (b >= 0 && b < ' ') {
      throw new WireException("incomplete string: control character within it");
    }
    if (afterBackslash) {
      afterBackslash = false;
    } else if (b == '\\') {
      afterBackslash = true;
    } else {
      inString = b != '"';
    }
  }

  private void scanOutsideString(byte b) throws WireException {
    switch (b) {
      case '{', '[' -> {
        if (depth == 0 && b == '[') {
          throw new WireException("not a JSON object");
        }
        depth++;
      }
      case '}', ']' -> {
        if (depth == 0) {
          throw new WireException("not JSON");
        }
        depth--;
      }
      case '"' -> inString = true;
      case ' ', '\t' -> {}
      default -> {
        if (depth == 0) {
          throw new WireException("not JSON");
        }
      }
    }
    if (depth == 0 && inString) {
      throw new WireException("not JSON");
    }
  }
}
