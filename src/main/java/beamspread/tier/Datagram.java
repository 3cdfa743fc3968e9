package beamspread.tier;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A datagram between members, 256 bytes at most: a header with the sender's record and the state of
 * the link, then items. Decoding is strict: a datagram with an error anywhere is rejected as a
 * whole.
 *
 * @param kind purpose of the datagram
 * @param tag hash of the tier's name
 * @param senderRecord the sender's record of itself
 * @param seq 16-bit sequence number of the datagrams from this sender to this receiver; it wraps
 *     around
 * @param echo the highest {@code seq} that the sender has received from the receiver
 * @param echoAgeNanos time since the sender last received a datagram from the receiver, {@link
 *     #NEVER} if it has received none
 * @param digest of all the sender's records
 */
record Datagram(
    Kind kind,
    int tag,
    MemberRecord senderRecord,
    int seq,
    int echo,
    long echoAgeNanos,
    int digest,
    List<Item> items) {

  /** Maximum datagram size that the platform passes on. */
  static final int MAX_BYTES = 256;

  /**
   * Minimum datagram size; shorter ones are padded, so that no answer is larger than the datagram
   * that it answers.
   */
  static final int MIN_BYTES = 44;

  static final int HEADER_BYTES = 26;
  static final long NEVER = Long.MAX_VALUE;

  private static final byte MAGIC = (byte) 0xB5;
  private static final long AGE_UNIT_NANOS = 20_000_000;
  private static final int MAX_ENCODED_AGE = 254;

  /** Purpose of a datagram. The ordinal is written to the wire. */
  enum Kind {
    /** A heartbeat. */
    BEAT,
    /** A probe: a heartbeat that requests an answer. */
    KNOCK,
    /** The answer to a probe, or a reply that carries a member's record or descriptive data. */
    ANSWER,
    /** Carries the digests of the sender's buckets and requests the records that differ. */
    COMPARE;

    private static final Kind[] ALL = values();
  }

  /** One entry in the body of a datagram. */
  sealed interface Item {
    int size();

    void write(ByteBuffer out);
  }

  /** The record of a member. */
  record RecordItem(MemberRecord record) implements Item {
    static final int SIZE = 12;

    @Override
    public int size() {
      return SIZE;
    }

    @Override
    public void write(ByteBuffer out) {
      out.put((byte) 1).putShort((short) record.number());
      writeIncarnation(out, record.incarnation());
      out.putShort((short) record.revision()).put((byte) record.state().ordinal());
    }
  }

  /** A suspicion report or its withdrawal. */
  record SuspicionItem(SuspicionReport report) implements Item {
    static final int SIZE = 9;

    @Override
    public int size() {
      return SIZE;
    }

    @Override
    public void write(ByteBuffer out) {
      out.put((byte) (report.suspected() ? 2 : 3))
          .putShort((short) report.subject())
          .putShort((short) report.revisionHash())
          .putShort((short) report.reporter())
          .putShort((short) report.sequence());
    }
  }

  /** The descriptive data of a member's incarnation. */
  record MemberInfoItem(int number, long incarnation, MemberInfo info) implements Item {
    @Override
    public int size() {
      return 12
          + encode(info.name()).length
          + encode(info.zone()).length
          + encode(info.version()).length;
    }

    @Override
    public void write(ByteBuffer out) {
      out.put((byte) 4).putShort((short) number);
      writeIncarnation(out, incarnation);
      for (String label : List.of(info.name(), info.zone(), info.version())) {
        byte[] text = encode(label);
        out.put((byte) text.length).put(text);
      }
    }
  }

  /** Requests the descriptive data of a member. */
  record MemberInfoRequest(int number) implements Item {
    static final int SIZE = 3;

    @Override
    public int size() {
      return SIZE;
    }

    @Override
    public void write(ByteBuffer out) {
      out.put((byte) 5).putShort((short) number);
    }
  }

  /** Digests of the sender's records, indexed by {@link MemberTable#bucket}. */
  record BucketDigests(int[] digests) implements Item {
    static final int SIZE = 1 + 4 * MemberTable.BUCKETS;

    @Override
    public int size() {
      return SIZE;
    }

    @Override
    public void write(ByteBuffer out) {
      out.put((byte) 6);
      for (int digest : digests) {
        out.putInt(digest);
      }
    }
  }

  /** Reason for which a datagram is rejected. */
  enum RejectReason {
    /** Too short, too long, or not in the expected format. */
    MALFORMED,
    /** Sent by a member of another tier. */
    FOREIGN,
    /** Received from an address that is not the sender's. */
    MISPLACED,
    /** Sent by an earlier incarnation of the member. */
    PAST
  }

  /** Thrown by {@link #decode} for a datagram that is rejected. */
  static final class InvalidDatagramException extends Exception {
    private static final long serialVersionUID = 1L;
    private final RejectReason reason;

    InvalidDatagramException(RejectReason reason) {
      super(reason.name(), null, false, false);
      this.reason = reason;
    }

    RejectReason reason() {
      return reason;
    }
  }

  private static byte[] encode(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static void writeIncarnation(ByteBuffer out, long incarnation) {
    out.putShort((short) (incarnation >>> 32)).putInt((int) incarnation);
  }

  private static long readIncarnation(ByteBuffer in) {
    return (in.getShort() & 0xFFFFL) << 32 | in.getInt() & 0xFFFFFFFFL;
  }

  /** Encodes the datagram, padded with zeros to its minimum size. */
  byte[] encode() {
    int size = HEADER_BYTES;
    for (Item item : items) {
      size += item.size();
    }
    // The answer to a comparison carries as many records as fit, so the request has the maximum
    // size.
    int minSize = kind == Kind.COMPARE ? MAX_BYTES : MIN_BYTES;
    ByteBuffer out = ByteBuffer.allocate(Math.max(size, minSize));
    out.put(MAGIC).put((byte) kind.ordinal()).putInt(tag).putShort((short) senderRecord.number());
    writeIncarnation(out, senderRecord.incarnation());
    out.putShort((short) senderRecord.revision()).put((byte) senderRecord.state().ordinal());
    out.putShort((short) seq).putShort((short) echo);
    long age =
        echoAgeNanos == NEVER
            ? MAX_ENCODED_AGE + 1
            : Math.min(MAX_ENCODED_AGE, echoAgeNanos / AGE_UNIT_NANOS);
    out.put((byte) age).putInt(digest);
    items.forEach(item -> item.write(out));
    return out.array();
  }

  /** Decodes a datagram; throws if it is malformed or its tag is not the one given. */
  static Datagram decode(byte[] bytes, int tag) throws InvalidDatagramException {
    if (bytes.length < MIN_BYTES || bytes.length > MAX_BYTES || bytes[0] != MAGIC) {
      throw new InvalidDatagramException(RejectReason.MALFORMED);
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    in.get();
    int kind = in.get();
    int datagramTag = in.getInt();
    if (kind < 0 || kind >= Kind.ALL.length) {
      throw new InvalidDatagramException(RejectReason.MALFORMED);
    }
    if (datagramTag != tag) {
      throw new InvalidDatagramException(RejectReason.FOREIGN);
    }
    int number = in.getShort() & 0xFFFF;
    long incarnation = readIncarnation(in);
    int revision = in.getShort() & 0xFFFF;
    MemberState state = MemberState.fromOrdinal(in.get());
    if (state == null || state == MemberState.GONE) {
      // No member reports itself as gone.
      throw new InvalidDatagramException(RejectReason.MALFORMED);
    }
    int seq = in.getShort() & 0xFFFF;
    int echo = in.getShort() & 0xFFFF;
    int age = in.get() & 0xFF;
    int digest = in.getInt();
    List<Item> items = new ArrayList<>();
    while (in.hasRemaining()) {
      int type = in.get();
      if (type == 0) {
        break;
      }
      items.add(decodeItem(type, in));
    }
    return new Datagram(
        Kind.ALL[kind],
        tag,
        new MemberRecord(number, incarnation, revision, state),
        seq,
        echo,
        age > MAX_ENCODED_AGE ? NEVER : age * AGE_UNIT_NANOS,
        digest,
        items);
  }

  private static Item decodeItem(int type, ByteBuffer in) throws InvalidDatagramException {
    int minSize =
        switch (type) {
          case 1 -> RecordItem.SIZE;
          case 2, 3 -> SuspicionItem.SIZE;
          case 4 -> 12;
          case 5 -> MemberInfoRequest.SIZE;
          case 6 -> BucketDigests.SIZE;
          default -> throw new InvalidDatagramException(RejectReason.MALFORMED);
        };
    if (in.remaining() < minSize - 1) {
      throw new InvalidDatagramException(RejectReason.MALFORMED);
    }
    if (type == 6) {
      int[] digests = new int[MemberTable.BUCKETS];
      for (int i = 0; i < digests.length; i++) {
        digests[i] = in.getInt();
      }
      return new BucketDigests(digests);
    }
    int number = in.getShort() & 0xFFFF;
    if (type == 5) {
      return new MemberInfoRequest(number);
    }
    if (type == 2 || type == 3) {
      int revisionHash = in.getShort() & 0xFFFF;
      int reporter = in.getShort() & 0xFFFF;
      int sequence = in.getShort() & 0xFFFF;
      return new SuspicionItem(
          new SuspicionReport(number, revisionHash, reporter, sequence, type == 2));
    }
    long incarnation = readIncarnation(in);
    if (type == 4) {
      return new MemberInfoItem(number, incarnation, decodeMemberInfo(in));
    }
    int revision = in.getShort() & 0xFFFF;
    MemberState state = MemberState.fromOrdinal(in.get());
    if (state == null) {
      throw new InvalidDatagramException(RejectReason.MALFORMED);
    }
    return new RecordItem(new MemberRecord(number, incarnation, revision, state));
  }

  private static MemberInfo decodeMemberInfo(ByteBuffer in) throws InvalidDatagramException {
    String[] labels = new String[3];
    for (int i = 0; i < labels.length; i++) {
      int length = in.hasRemaining() ? in.get() & 0xFF : MAX_BYTES;
      if (length > in.remaining()) {
        throw new InvalidDatagramException(RejectReason.MALFORMED);
      }
      byte[] text = new byte[length];
      in.get(text);
      labels[i] = new String(text, StandardCharsets.UTF_8);
    }
    try {
      return new MemberInfo(labels[0], labels[1], labels[2]);
    } catch (IllegalArgumentException e) {
      throw new InvalidDatagramException(RejectReason.MALFORMED);
    }
  }
}
