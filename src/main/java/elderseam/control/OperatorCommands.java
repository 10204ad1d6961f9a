package elderseam.control;

import elderseam.core.Lifecycle;
import elderseam.core.RequestDispatcher;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Carries out what operators ask of one dispatcher, on the thread that owns it. */
public final class OperatorCommands {
    private final RequestDispatcher relay;
    private final Lifecycle life;
    private final List<String> classes;
    private final Runnable drain, rejoin;
    private final Function<OperatorCommand.Fleet, CommandResult> fleet;
    private final Function<OperatorCommand.Config, CommandResult> config;

    /** {@code drain} and {@code rejoin}: what follows for the connections of clients; {@code fleet} answers for the leases, and {@code config} for the versions, or is null. */
    public OperatorCommands(
            RequestDispatcher relay,
            Lifecycle life,
            List<String> classes,
            Runnable drain,
            Runnable rejoin,
            Function<OperatorCommand.Fleet, CommandResult> fleet,
            Function<OperatorCommand.Config, CommandResult> config) {
        this.relay = relay;
        this.life = life;
        this.classes = classes;
        this.drain = drain;
        this.rejoin = rejoin;
        this.fleet = fleet;
        this.config = config;
    }

    public CommandResult carryOut(OperatorCommand command) {
        if (command instanceof OperatorCommand.Fault f) {
            return CommandResult.no(f.why());
        } else if (command instanceof OperatorCommand.Info) {
            List<String> lines = new ArrayList<>(relay.metricLines(classes));
            lines.add("EOF");
            return new CommandResult(true, word(), lines);
        } else if (life.state() == Lifecycle.State.ENDING) {
            return CommandResult.no("this process ends");
        } else if (command instanceof OperatorCommand.Detach d) {
            return detach(d.host(), true);
        } else if (command instanceof OperatorCommand.Attach a) {
            return detach(a.host(), false);
        } else if (command instanceof OperatorCommand.Fleet f) {
            return fleet == null
                    ? CommandResult.no("this process is in no fleet; fleet.listen is off")
                    : fleet.apply(f);
        } else if (command instanceof OperatorCommand.Config c) {
            return config == null
                    ? CommandResult.no("this process agrees on no versions; fleet.versions_bound_ms is 0")
                    : config.apply(c);
        } else if (command instanceof OperatorCommand.LameDuck) {
            if (life.beginDrain()) {
                drain.run();
            }
            return CommandResult.yes(word());
        } else if (command instanceof OperatorCommand.Rejoin) {
            life.rejoin();
            rejoin.run();
            return CommandResult.yes(word());
        }
        return life.state() == Lifecycle.State.STARTING ? CommandResult.no(word()) : CommandResult.yes(word()); // PING
    }

    private String word() {
        return life.state().wireName();
    }

    private CommandResult detach(String host, boolean out) {
        return switch (relay.setDrained(host, out)) {
            case APPLIED -> CommandResult.yes(out ? "detached" : "attached");
            case UNKNOWN_ENDPOINT -> CommandResult.no("no endpoint with that id was ever listed");
            case NO_CAPACITY -> CommandResult.no("no room: too many endpoints are detached, or the journal is full");
        };
    }
}
