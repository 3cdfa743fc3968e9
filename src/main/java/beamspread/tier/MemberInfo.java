package beamspread.tier;

import java.nio.charset.StandardCharsets;

/**
 * Descriptive data of a member, for operators.
 *
 * @param name of the member, 1 to 32 bytes of UTF-8
 * @param zone of the member, up to 16 bytes of UTF-8
 * @param version of the program that the member runs, up to 16 bytes of UTF-8
 */
public record MemberInfo(String name, String zone, String version) {
  static final int MAX_NAME_BYTES = 32;
  static final int MAX_LABEL_BYTES = 16;

  /**
   * @throws IllegalArgumentException if a part is too long, or the name is empty
   */
  public MemberInfo {
    if (name.isEmpty() || utf8Length(name) > MAX_NAME_BYTES) {
      throw new IllegalArgumentException("name must have 1 to " + MAX_NAME_BYTES + " bytes");
    }
    if (utf8Length(zone) > MAX_LABEL_BYTES || utf8Length(version) > MAX_LABEL_BYTES) {
      throw new IllegalArgumentException(
          "zone and version must have at most " + MAX_LABEL_BYTES + " bytes");
    }
  }

  private static int utf8Length(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }
}
