package beamspread.cli;

import beamspread.node.variants.VariantFileReader;
import beamspread.sim.WireException;
import beamspread.variants.VariantFile;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

/**
 * The operators' file of variants, read again when it changes; what makes no sense changes nothing.
 */
final class VariantSource {
  private final Path path;
  private String text;
  private VariantFile file;

  /** Reads the file for the first time. */
  VariantSource(Path path) throws IOException, WireException {
    this.path = path;
    this.text = Files.readString(path, StandardCharsets.UTF_8);
    this.file = VariantFileReader.read(text);
  }

  /** What it said when it last made sense. */
  VariantFile file() {
    return file;
  }

  /**
   * Reads the file again.
   *
   * @param trouble is told why a change is not taken, once
   * @return whether it says something else now
   */
  boolean reread(Consumer<String> trouble) throws IOException {
    String now = Files.readString(path, StandardCharsets.UTF_8);
    if (now.equals(text)) {
      return false;
    }
    text = now;
    try {
      VariantFile changed = VariantFileReader.read(now);
      if (!changed.settings().fleet().equals(file.settings().fleet())) {
        throw new WireException("another fleet");
      }
      file = changed;
      return true;
    } catch (WireException e) {
      trouble.accept(path + ": " + e.getMessage() + "; the file before stays");
      return false;
    }
  }
}
