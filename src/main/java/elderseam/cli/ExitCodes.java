package elderseam.cli;

/** What the commands return to the shell. */
final class ExitCodes {
    static final int OK = 0;

    /** The command failed, or found what it looks for: a fault, a broken rule, a refused proposal. */
    static final int FAILED = 1;

    /** The command line is malformed, or an argument is out of range. */
    static final int USAGE = 2;

    /** No exit code: the command has started threads that hold the process. */
    static final int KEEPS_RUNNING = -1;

    private ExitCodes() {}
}
