import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** A command of the wire, as a cache server reads it. */
final class Command {
  final String line;
  final String[] words;
  final byte[] value;

  /** When its last byte came, by {@link System#nanoTime()}. */
  final long at = System.nanoTime();

  Command(String line, byte[] value) {
    this.line = line;
    this.words = line.split(" ");
    this.value = value;
  }

  boolean isWrite() {
    return words[0].equals("ms");
  }

  boolean isRead() {
    return words[0].equals("mg");
  }

  String key() {
    return words.length > 1 ? words[1] : "";
  }

  /** Returns the id with its O. */
  String id() {
    for (int i = 2; i < words.length; i++) {
      if (words[i].startsWith("O")) {
        return words[i];
      }
    }
    return "";
  }

  /** Returns a parameter, null for none. */
  String parameter(String name) {
    for (int i = 2; i < words.length; i++) {
      if (words[i].startsWith("P")) {
        for (String pair : words[i].substring(1).split(",")) {
          if (pair.startsWith(name + "=")) {
            return pair.substring(name.length() + 1);
          }
        }
      }
    }
    return null;
  }

  /** Reads a line that ends in CRLF; null at the end of the stream before its first byte. */
  static String readLine(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (text.length() == 0) {
          return null;
        }
        throw new EOFException();
      }
      if (b != '\r') {
        text.append((char) b);
      }
    }
    return text.toString();
  }

  /** Reads a command; null at the end of the stream. */
  static Command read(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    String[] words = line.split(" ");
    byte[] value = null;
    if (words[0].equals("ms")) {
      value = in.readNBytes(Integer.parseInt(words[2]));
      in.readNBytes(2);
    }
    return new Command(line, value);
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
