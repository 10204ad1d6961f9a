package elderseam.cli;

import elderseam.settings.SettingsFault;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;
import picocli.CommandLine.ScopeType;

/** The command line: the root of all commands, their exit codes, and how their faults are printed. */
@Command(
        name = "elderseam",
        scope = ScopeType.INHERIT, // every command has --help and --version
        mixinStandardHelpOptions = true,
        versionProvider = ProgramVersion.class,
        description = "A dispatcher that delivers messages to partners, and its test and rehearsal kit.",
        subcommands = {
            LaunchCommands.Serve.class,
            LaunchCommands.SimulatorHost.class,
            LaunchCommands.AcmeAuthority.class,
            LaunchCommands.Train.class,
            ConfigCommand.class,
            KeysCommand.class,
            GossipCommand.class,
            RulesCommand.class,
            LabCommand.class,
            FleetCommand.class
        })
public final class Commands extends CommandBase {
    private final Launcher launcher;

    private Commands(Launcher launcher) {
        this.launcher = launcher;
    }

    /**
     * Runs a command to its end, or for ever where it starts something that holds the process.
     *
     * @param args the words of the command line
     * @param launcher starts what is not a command
     * @return the exit code: 0, 1 for what failed or is faulty, 2 for a usage fault
     * @throws InterruptedException if the thread is interrupted while what it started holds the process
     */
    public static int run(String[] args, Launcher launcher) throws InterruptedException {
        int code = new CommandLine(new Commands(launcher))
                .setParameterExceptionHandler(Commands::printUsageFault)
                .setExecutionExceptionHandler(Commands::printFailure)
                .execute(args);
        if (code == ExitCodes.KEEPS_RUNNING) {
            Thread.currentThread().join();
        }
        return code;
    }

    private static int printUsageFault(ParameterException fault, String[] args) {
        CommandLine command = fault.getCommandLine();
        command.getErr().println(command.getCommandName() + ": " + fault.getMessage());
        command.usage(command.getErr());
        return ExitCodes.USAGE;
    }

    private static int printFailure(Exception failure, CommandLine command, ParseResult parsed) {
        if (failure instanceof SettingsFault fault) {
            fault.faults().forEach(command.getErr()::println);
        } else {
            Object reason = failure.getMessage() == null ? failure : failure.getMessage();
            command.getErr().println(command.getCommandName() + ": " + reason);
        }
        return ExitCodes.FAILED;
    }

    Launcher launcher() {
        return launcher;
    }

    @Override
    public Integer call() {
        throw usageFault("a command is missing");
    }
}
