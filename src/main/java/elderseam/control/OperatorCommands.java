package elderseam.control;

import elderseam.core.Lifecycle;
import elderseam.core.RequestDispatcher;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Executes operators' commands on one dispatcher. Confined to the I/O thread. */
public final class OperatorCommands {
    private static final String END_OF_METRICS = "EOF";

    private final RequestDispatcher dispatcher;
    private final Lifecycle lifecycle;
    private final List<String> classNames;
    private final Runnable beginClientDrain;
    private final Runnable cancelClientDrain;
    private final Function<OperatorCommand.Fleet, CommandResult> fleet; // null without a fleet
    private final Function<OperatorCommand.Config, CommandResult> config; // null without versions

    /**
     * Creates the commands of one dispatcher.
     *
     * @param classNames the names of the request classes, by number, for the metrics
     * @param beginClientDrain called when the drain begins, to close the clients' connections
     * @param cancelClientDrain called on every REJOIN
     * @param fleet answers FLEET, or null where this process is in no fleet
     * @param config answers CONFIG, or null where the fleet agrees on no versions
     */
    public OperatorCommands(
            RequestDispatcher dispatcher,
            Lifecycle lifecycle,
            List<String> classNames,
            Runnable beginClientDrain,
            Runnable cancelClientDrain,
            Function<OperatorCommand.Fleet, CommandResult> fleet,
            Function<OperatorCommand.Config, CommandResult> config) {
        this.dispatcher = dispatcher;
        this.lifecycle = lifecycle;
        this.classNames = classNames;
        this.beginClientDrain = beginClientDrain;
        this.cancelClientDrain = cancelClientDrain;
        this.fleet = fleet;
        this.config = config;
    }

    /** Executes a command. A process that is ending still answers INFO, and nothing else. */
    public CommandResult execute(OperatorCommand command) {
        if (command instanceof OperatorCommand.Malformed malformed) {
            return CommandResult.rejected(malformed.reason());
        }
        if (command instanceof OperatorCommand.Info) {
            return info();
        }
        if (lifecycle.state() == Lifecycle.State.SHUTTING_DOWN) {
            return CommandResult.rejected("this process ends");
        }
        return executeWhileRunning(command);
    }

    private CommandResult executeWhileRunning(OperatorCommand command) {
        if (command instanceof OperatorCommand.Detach detach) {
            return setDrained(detach.endpointId(), true);
        }
        if (command instanceof OperatorCommand.Attach attach) {
            return setDrained(attach.endpointId(), false);
        }
        if (command instanceof OperatorCommand.Fleet fleetCommand) {
            return fleet == null
                    ? CommandResult.rejected("this process is in no fleet; fleet.listen is off")
                    : fleet.apply(fleetCommand);
        }
        if (command instanceof OperatorCommand.Config configCommand) {
            return config == null
                    ? CommandResult.rejected("this process agrees on no versions; fleet.versions_bound_ms is 0")
                    : config.apply(configCommand);
        }
        if (command instanceof OperatorCommand.LameDuck) {
            return beginDrain();
        }
        if (command instanceof OperatorCommand.Rejoin) {
            return rejoin();
        }
        return ping();
    }

    private CommandResult info() {
        List<String> lines = new ArrayList<>(dispatcher.metricLines(classNames));
        lines.add(END_OF_METRICS);
        return CommandResult.accepted(stateName(), lines);
    }

    private CommandResult beginDrain() {
        if (lifecycle.beginDrain()) {
            beginClientDrain.run();
        }
        return CommandResult.accepted(stateName());
    }

    private CommandResult rejoin() {
        lifecycle.rejoin();
        cancelClientDrain.run();
        return CommandResult.accepted(stateName());
    }

    private CommandResult ping() {
        return lifecycle.state() == Lifecycle.State.STARTING
                ? CommandResult.rejected(stateName())
                : CommandResult.accepted(stateName());
    }

    private String stateName() {
        return lifecycle.state().wireName();
    }

    private CommandResult setDrained(String endpointId, boolean drained) {
        return switch (dispatcher.setDrained(endpointId, drained)) {
            case APPLIED -> CommandResult.accepted(drained ? "detached" : "attached");
            case UNKNOWN_ENDPOINT -> CommandResult.rejected("no endpoint with that id was ever listed");
            case NO_CAPACITY ->
                CommandResult.rejected("no room: too many endpoints are detached, or the journal is full");
        };
    }
}
