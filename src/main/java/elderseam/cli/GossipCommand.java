package elderseam.cli;

import picocli.CommandLine.Command;

/** {@code gossip}: a fleet simulated in virtual time, and a look at one that runs. */
@Command(
        name = "gossip",
        description = "The fleet of instances.",
        subcommands = {GossipTrialCommand.class, GossipWatchCommand.class})
final class GossipCommand extends CommandGroup {}
