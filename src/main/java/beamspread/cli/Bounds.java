package beamspread.cli;

import java.util.Locale;
import picocli.CommandLine;

/** Checks of options that name numbers. */
final class Bounds {
  private Bounds() {}

  /**
   * Ends the command with its usage where an option is out of bounds.
   *
   * @throws CommandLine.ParameterException that names the option and its bounds
   */
  static void check(CommandLine line, String name, double value, double least, double most) {
    if (!(value >= least && value <= most)) {
      throw new CommandLine.ParameterException(
          line, name + " must be " + number(least) + " to " + number(most));
    }
  }

  private static String number(double value) {
    return value == Math.rint(value)
        ? Long.toString((long) value)
        : String.format(Locale.ROOT, "%s", value);
  }
}
