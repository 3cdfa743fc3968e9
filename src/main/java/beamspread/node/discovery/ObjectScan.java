package beamspread.node.discovery;

import beamspread.sim.WireException;
import io.netty.buffer.ByteBuf;

/**
 * Finds where JSON objects end in a stream of them, whatever blanks and line ends stand within and
 * between: lists may come indented. Looks at each byte once. Guards against waiting for the end of
 * an object that has broken off, while what follows is swallowed as a part of it: an empty line,
 * the watch's sign of life, or a raw line end in a text cannot stand within one.
 */
final class ObjectScan {
  private int depth;
  private boolean quoted;
  private boolean escaped;
  private boolean lineBegins;

  /** Whether no object has begun that has not ended. */
  boolean between() {
    return depth == 0;
  }

  /**
   * Goes on with what has come.
   *
   * @param from the first byte that was not looked at before
   * @return the index behind the object that ends first, after which to go on; -1 if none does
   * @throws WireException if this cannot become a stream of objects any more
   */
  int end(ByteBuf text, int from) throws WireException {
    for (int i = from; i < text.writerIndex(); i++) {
      byte b = text.getByte(i);
      if (quoted) {
        inText(b);
      } else if (b == '\n') {
        if (lineBegins && depth > 0) {
          throw new WireException("a list that is not whole");
        }
        lineBegins = true;
      } else if (b != '\r') {
        lineBegins = false;
        outsideText(b);
        if (depth == 0 && b == '}') {
          return i + 1;
        }
      }
    }
    return -1;
  }

  private void inText(byte b) throws WireException {
    if (b >= 0 && b < ' ') {
      throw new WireException("a list with a text that is not whole");
    }
    if (escaped) {
      escaped = false;
    } else if (b == '\\') {
      escaped = true;
    } else {
      quoted = b != '"';
    }
  }

  private void outsideText(byte b) throws WireException {
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
      case '"' -> quoted = true;
      case ' ', '\t' -> {}
      default -> {
        if (depth == 0) {
          throw new WireException("not JSON");
        }
      }
    }
    if (depth == 0 && quoted) {
      throw new WireException("not JSON");
    }
  }
}
