package beamspread.cli;

import beamspread.agent.Agent;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an agent until it is told to end. */
@Command(
    name = "agent",
    description =
        "Runs the agent beside the instances of this machine, until SIGTERM. Its end ends"
            + " no instance.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Examples:",
      "  ./beamspread agent --config deploy/agent.toml --check",
      "  ./beamspread agent --config deploy/agent.toml"
    })
final class AgentCommand implements Callable<Integer> {
  @Option(
      names = "--config",
      paramLabel = "FILE",
      defaultValue = "deploy/agent.toml",
      description = "its instances (default: deploy/agent.toml)")
  private Path config;

  @Option(names = "--check", description = "check the file, name every fault, and start nothing")
  private boolean check;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    if (check) {
      int instances = Agent.check(config);
      spec.commandLine().getOut().println(config + ": good, " + instances + " instances");
      return 0;
    }
    LogSetup.agent(Agent.log(config));
    try (UntilTold until = new UntilTold();
        Agent agent = Agent.start(config)) {
      spec.commandLine().getOut().println("agent listens on " + agent.url());
      spec.commandLine().getOut().flush();
      until.await();
    }
    return 0;
  }
}
