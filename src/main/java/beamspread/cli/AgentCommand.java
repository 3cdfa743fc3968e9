package beamspread.cli;

import beamspread.agent.Agent;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
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
  private static final Logger LOG = LoggerFactory.getLogger(AgentCommand.class);

  /** Exit code of an agent that has lost a thread that it can't do without. */
  private static final int EXIT_THREAD_ENDED = 70;

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
    Thread.setDefaultUncaughtExceptionHandler(AgentCommand::onUncaught);
    try (UntilTold until = new UntilTold();
        Agent agent = Agent.start(config)) {
      spec.commandLine().getOut().println("agent listens on " + agent.url());
      spec.commandLine().getOut().flush();
      until.await();
    }
    return 0;
  }

  /** Ends the process in place of an agent that lives on without a thread it can't do without. */
  private static void onUncaught(Thread thread, Throwable cause) {
    LOG.error("thread {} has ended by an error", thread.getName(), cause);
    if (Agent.isEssential(thread)) {
      Runtime.getRuntime().halt(EXIT_THREAD_ENDED);
    }
  }
}
