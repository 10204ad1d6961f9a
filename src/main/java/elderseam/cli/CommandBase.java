package elderseam.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** What all commands share: the streams, and usage faults. Returns one of {@link ExitCodes}. */
abstract class CommandBase implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    /** This command, as picocli knows it. */
    final CommandSpec spec() {
        return spec;
    }

    /** Standard output. {@code println} and {@code printf} flush, {@code print} does not. */
    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Standard error, for warnings and progress. */
    final PrintWriter err() {
        return spec.commandLine().getErr();
    }

    /** The exception to throw for a wrong argument: the message and the usage are printed, and the exit code is 2. */
    final ParameterException usageFault(String message) {
        return usageFault(spec, message);
    }

    /** The same for a mixin, which knows the command that it is mixed into. */
    static ParameterException usageFault(CommandSpec command, String message) {
        return new ParameterException(command.commandLine(), message);
    }

    /**
     * Checks the number that an option gives.
     *
     * @throws ParameterException if it is less than {@code min} or more than {@code max}
     */
    final void requireRange(String option, int value, int min, int max) {
        if (value < min || value > max) {
            throw usageFault(option + ": " + value + ", allowed: " + min + " to " + max);
        }
    }
}
