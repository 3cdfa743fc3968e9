package beamspread.cli;

import beamspread.lab.Experiment;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Varies one or two settings of an experiment. */
@Command(
    name = "sweep",
    description =
        "Plays an experiment's fleet with one or two settings at several values each, all"
            + " combinations, beside the fleet as it is and the file's own variants.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread lab sweep deploy/lab.toml --set pool.connections=2,4,12",
      "  ./beamspread lab sweep deploy/lab.toml --set spread.epsilon=0.1,1 --set fleet.nodes=2,20",
      "",
      "Exit codes: 0 if all rules were kept, 1 if a run broke one, 2 for a wrong file or option."
    })
final class LabSweepCommand implements Callable<Integer> {
  private static final Pattern SETTING =
      Pattern.compile("(fleet|origin|load|network|pool|spread)\\.([a-z_]+)=([A-Za-z0-9.,-]+)");

  private static final int MOST_VARIANTS = 100;

  @Mixin private LabOptions options;

  @Option(
      names = "--set",
      required = true,
      arity = "1",
      paramLabel = "TABLE.KEY=VALUE,...",
      description = "a setting of the file, and its values; once or twice")
  private List<String> settings;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  /** One setting at one value. */
  private record Choice(String table, String key, String value) {
    String text() {
      return table + "." + key + "=" + value;
    }

    /** As the file would have it, in a variant. */
    String toml() {
      boolean number = value.matches("-?[0-9]+([.][0-9]+)?");
      return key + " = " + (number ? value : '"' + value + '"') + "\n";
    }
  }

  @Override
  public Integer call() throws Exception {
    options.check(spec);
    if (settings.size() > 2) {
      throw wrong("--set may be given once or twice, not " + settings.size() + " times");
    }
    Experiment experiment = Experiment.read(options.file, variants());
    return options.print(experiment, options.play(experiment, spec), spec);
  }

  private CommandLine.ParameterException wrong(String what) {
    return new CommandLine.ParameterException(spec.commandLine(), what);
  }

  private String variants() {
    List<List<Choice>> all = new ArrayList<>();
    for (String setting : settings) {
      Matcher parts = SETTING.matcher(setting);
      if (!parts.matches()) {
        throw wrong("--set " + setting + " is not TABLE.KEY=VALUE,... as pool.depth=8,32");
      }
      List<Choice> choices = new ArrayList<>();
      for (String value : parts.group(3).split(",")) {
        choices.add(new Choice(parts.group(1), parts.group(2), value));
      }
      all.add(choices);
    }
    StringBuilder toml = new StringBuilder("\n");
    int count = 0;
    for (Choice first : all.get(0)) {
      for (Choice second : all.size() > 1 ? all.get(1) : List.of(first)) {
        if (++count > MOST_VARIANTS) {
          throw wrong("--set makes more than " + MOST_VARIANTS + " variants");
        }
        boolean two = second != first;
        toml.append("[[variant]]\nname = \"").append(first.text());
        toml.append(two ? " " + second.text() : "").append("\"\n");
        toml.append("[variant.").append(first.table()).append("]\n").append(first.toml());
        if (two && !second.table().equals(first.table())) {
          toml.append("[variant.").append(second.table()).append("]\n");
        }
        toml.append(two ? second.toml() : "");
      }
    }
    return toml.toString();
  }
}
