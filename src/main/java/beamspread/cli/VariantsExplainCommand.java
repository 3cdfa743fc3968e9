package beamspread.cli;

import beamspread.fleet.Fleet;
import beamspread.fleet.Inventory;
import beamspread.fleet.Selection;
import beamspread.fleet.api.Api;
import beamspread.variants.HeldTable;
import beamspread.variants.VariantException;
import beamspread.variants.VariantFile;
import beamspread.variants.VariantKeys;
import beamspread.variants.VariantTable;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What becomes of a key. */
@Command(
    name = "explain",
    description = "Says what becomes of a key under the table in force at the first agent.",
    mixinStandardHelpOptions = true)
final class VariantsExplainCommand extends VariantsAction {
  @Parameters(paramLabel = "KEY", description = "as a client asks for it")
  private String key;

  @Option(names = "--file", required = true, description = "the rules")
  private Path file;

  @Option(names = "--class", required = true, description = "the request's class")
  private String requestClass;

  @Override
  public Integer call() throws Exception {
    VariantFile read = open(file).file();
    try (Fleet agents = new Fleet(Inventory.read(inventory()))) {
      Fleet.Answers<Api.VariantView> views =
          agents.ask(Selection.all(), client -> client.variants(read.settings().fleet()));
      Api.VariantView view = views.answers().values().stream().findFirst().orElse(null);
      if (view == null) {
        views.failures().values().forEach(failure -> err().println(failure.getMessage()));
        err().flush();
        return UNKNOWN;
      }
      String becomes = becomes(read, view);
      out().println(becomes == null ? key + " stays as it is: " + why(read, view) : becomes);
      out().flush();
      return becomes == null ? 1 : 0;
    }
  }

  private String becomes(VariantFile read, Api.VariantView view) throws VariantException {
    if (view.text() == null) {
      return null;
    }
    VariantKeys keys = new VariantKeys(read.settings(), read.rules());
    VariantTable table = VariantTable.parse(view.text(), view.digest());
    if (keys.offer(0, table, Long.MAX_VALUE / 2) != HeldTable.OfferResult.NEW) {
      return null;
    }
    String canonical = keys.canonical(0, key, requestClass);
    return canonical == null ? null : key + " is asked for as " + canonical;
  }

  private String why(VariantFile read, Api.VariantView view) {
    for (String family : view.kept()) {
      if (key.startsWith(family)) {
        return "operators keep " + family + " split";
      }
    }
    if (view.text() == null) {
      return "agent " + view.agent() + " holds no table";
    }
    return read.rules()
        .explain(key, requestClass)
        .orElse("its class is in no set of table " + view.version());
  }
}
