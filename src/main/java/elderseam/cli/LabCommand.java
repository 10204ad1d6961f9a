package elderseam.cli;

import picocli.CommandLine.Command;

/** {@code lab}: experiments on the emulator. */
@Command(
        name = "lab",
        description = "Experiments on an emulated world.",
        subcommands = {
            LabRunCommand.class,
            LabSweepCommand.class,
            LabCompareCommand.class,
            LabFindCommand.class,
            LabSubsetsCommand.class
        })
final class LabCommand extends CommandGroup {}
