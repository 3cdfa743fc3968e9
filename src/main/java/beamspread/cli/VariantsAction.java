package beamspread.cli;

import beamspread.sim.WireException;
import java.io.IOException;
import java.nio.file.Path;

/** A subcommand about variant keys. */
abstract class VariantsAction extends InventoryAction {
  /** Opens the operators' file; ends with what is wrong with it. */
  final VariantSource open(Path file) {
    try {
      return new VariantSource(file);
    } catch (IOException e) {
      throw usage(file + " cannot be read");
    } catch (WireException e) {
      throw usage(file + ": " + e.getMessage());
    }
  }
}
