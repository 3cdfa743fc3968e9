package beamspread.standin.postgres;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Messages of the protocol: a type, a length that counts itself, a body. */
final class PgWire {
  private static final int LONGEST = 1 << 20;

  private final DataInputStream in;
  private final OutputStream out;
  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

  PgWire(DataInputStream in, OutputStream out) {
    this.in = in;
    this.out = out;
  }

  /** A message's body, read from front to back. */
  static final class Body {
    private final ByteBuffer bytes;

    Body(byte[] bytes) {
      this.bytes = ByteBuffer.wrap(bytes);
    }

    int int32() {
      return bytes.getInt();
    }

    int int16() {
      return bytes.getShort();
    }

    char character() {
      return (char) bytes.get();
    }

    boolean hasMore() {
      return bytes.hasRemaining();
    }

    byte[] bytes(int length) {
      byte[] part = new byte[length];
      bytes.get(part);
      return part;
    }

    byte[] rest() {
      return bytes(bytes.remaining());
    }

    String text() {
      int from = bytes.position();
      while (bytes.get() != 0) {
        // On to the end of the text.
      }
      return new String(bytes.array(), from, bytes.position() - 1 - from, StandardCharsets.UTF_8);
    }
  }

  /** Builds a message's body. */
  static final class Out {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final DataOutputStream data = new DataOutputStream(bytes);

    Out int32(int value) {
      return put(() -> data.writeInt(value));
    }

    Out int16(int value) {
      return put(() -> data.writeShort(value));
    }

    Out int8(int value) {
      return put(() -> data.writeByte(value));
    }

    Out raw(byte[] value) {
      return put(() -> data.write(value));
    }

    Out text(String value) {
      return raw(value.getBytes(StandardCharsets.UTF_8)).int8(0);
    }

    private interface Put {
      void run() throws IOException;
    }

    private Out put(Put put) {
      try {
        put.run();
        return this;
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  int int32() throws IOException {
    return in.readInt();
  }

  int type() throws IOException {
    return in.read();
  }

  Body body() throws IOException {
    int length = in.readInt() - 4;
    if (length < 0 || length > LONGEST) {
      throw new IOException("message of " + length + " bytes");
    }
    byte[] bytes = new byte[length];
    in.readFully(bytes);
    return new Body(bytes);
  }

  /** Adds a message to what the next flush sends. */
  void send(char type, Out body) {
    byte[] bytes = body.bytes.toByteArray();
    pending.write(type);
    pending.writeBytes(ByteBuffer.allocate(4).putInt(bytes.length + 4).array());
    pending.writeBytes(bytes);
  }

  void sendByte(char value) throws IOException {
    out.write(value);
    out.flush();
  }

  void flush() throws IOException {
    out.write(pending.toByteArray());
    pending.reset();
    out.flush();
  }
}
