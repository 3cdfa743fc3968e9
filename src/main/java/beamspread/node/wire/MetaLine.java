package beamspread.node.wire;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** One line of the memcache text protocol, split at its spaces. */
final class MetaLine {
  /** Longest accepted line in bytes, well above a key of 250 bytes with its flags. */
  static final int MAX_LINE_BYTES = 2048;

  /**
   * Longest value in bytes that is held whole, and longest one accepted from a client, as the
   * protocol defines it.
   */
  static final int MAX_VALUE_BYTES = 1 << 16;

  /**
   * Longest value in bytes that is streamed, four times the largest one caches store; a greater
   * length is invalid.
   */
  static final int MAX_STREAMED_VALUE_BYTES = 1 << 24;

  final byte[] bytes;
  private int position;
  private int wordStart;

  private MetaLine(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Reads the next complete line from the buffer; null if it is not complete yet. */
  static MetaLine read(ByteBuf in) throws MalformedException {
    int length = in.bytesBefore(Math.min(in.readableBytes(), MAX_LINE_BYTES), (byte) '\n');
    if (length < 0) {
      if (in.readableBytes() >= MAX_LINE_BYTES) {
        throw new MalformedException("line too long");
      }
      return null;
    }
    if (length == 0 || in.getByte(in.readerIndex() + length - 1) != '\r') {
      throw new MalformedException("line does not end in CRLF");
    }
    byte[] bytes = new byte[length - 1];
    in.readBytes(bytes).skipBytes(2);
    return new MetaLine(bytes);
  }

  /** Moves to the next word; returns false at the end of the line. */
  boolean nextWord() {
    while (position < bytes.length && bytes[position] == ' ') {
      position++;
    }
    wordStart = position;
    while (position < bytes.length && bytes[position] != ' ') {
      position++;
    }
    return position > wordStart;
  }

  /** Returns whether its words are separated by single spaces, with none at the ends. */
  boolean isEvenlySpaced() {
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == ' ' && (i == 0 || i == bytes.length - 1 || bytes[i + 1] == ' ')) {
        return false;
      }
    }
    return true;
  }

  int start() {
    return wordStart;
  }

  int end() {
    return position;
  }

  /** Returns the first byte of the current word, the name of a flag. */
  char flag() {
    return (char) bytes[wordStart];
  }

  boolean is(String word) {
    if (position - wordStart != word.length()) {
      return false;
    }
    for (int i = 0; i < word.length(); i++) {
      if (bytes[wordStart + i] != word.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the current word from the given offset on. */
  String word(int offset) {
    return text(wordStart + offset, position);
  }

  String text(int from, int to) {
    return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
  }

  /**
   * Returns the decimal number between two offsets, -1 if there is none or it has over nine digits.
   */
  int parseNumber(int from, int to) {
    if (from >= to || to - from > 9) {
      return -1;
    }
    int number = 0;
    for (int i = from; i < to; i++) {
      int digit = bytes[i] - '0';
      if (digit < 0 || digit > 9) {
        return -1;
      }
      number = 10 * number + digit;
    }
    return number;
  }

  /** Returns whether all bytes between two offsets are visible ASCII, as in a key and an id. */
  boolean isVisible(int from, int to) {
    for (int i = from; i < to; i++) {
      if (bytes[i] <= ' ' || bytes[i] == 0x7F) {
        return false;
      }
    }
    return from < to;
  }

  /** Reads the CRLF after a value from the buffer. */
  static void readValueEnd(ByteBuf in) throws MalformedException {
    if (in.readByte() != '\r' || in.readByte() != '\n') {
      throw new MalformedException("bad data chunk");
    }
  }

  /** Thrown when the peer broke the protocol, so that the rest of its input can't be parsed. */
  static final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedException(String message) {
      super(message, null, false, false);
    }
  }
}
