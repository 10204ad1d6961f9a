package elderseam.cli;

/** A command that does nothing but hold subcommands. */
abstract class CommandGroup extends CommandBase {
    @Override
    public Integer call() {
        throw usageFault("a command is missing: "
                + String.join(" or ", spec().subcommands().keySet()));
    }
}
