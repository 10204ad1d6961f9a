package elderseam.control;

import elderseam.core.Lifecycle;
import elderseam.core.Relay;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Carries out what operators ask of one dispatcher, on the thread that owns it. */
public final class Operators {
    private final Relay relay;
    private final Lifecycle life;
    private final List<String> classes;
    private final Runnable drain, rejoin;
    private final Function<Command.Fleet, Verdict> fleet;
    private final Function<Command.Config, Verdict> config;

    /** {@code drain} and {@code rejoin}: what follows for the connections of clients; {@code fleet} answers for the leases, and {@code config} for the versions, or is null. */
    public Operators(Relay relay, Lifecycle life, List<String> classes, Runnable drain, Runnable rejoin,
                     Function<Command.Fleet, Verdict> fleet, Function<Command.Config, Verdict> config) {
        this.relay = relay;
        this.life = life;
        this.classes = classes;
        this.drain = drain;
        this.rejoin = rejoin;
        this.fleet = fleet;
        this.config = config;
    }

    public Verdict carryOut(Command command) {
        if (command instanceof Command.Fault f) {
            return Verdict.no(f.why());
        } else if (command instanceof Command.Info) {
            List<String> lines = new ArrayList<>(relay.figures(classes));
            lines.add("EOF");
            return new Verdict(true, word(), lines);
        } else if (life.state() == Lifecycle.State.ENDING) {
            return Verdict.no("this process ends");
        } else if (command instanceof Command.Detach d) {
            return detach(d.host(), true);
        } else if (command instanceof Command.Attach a) {
            return detach(a.host(), false);
        } else if (command instanceof Command.Fleet f) {
            return fleet == null ? Verdict.no("this process is in no fleet; fleet.listen is off") : fleet.apply(f);
        } else if (command instanceof Command.Config c) {
            return config == null ? Verdict.no("this process agrees on no versions; fleet.versions_bound_ms is 0") : config.apply(c);
        } else if (command instanceof Command.LameDuck) {
            if (life.drain()) {
                drain.run();
            }
            return Verdict.yes(word());
        } else if (command instanceof Command.Rejoin) {
            life.rejoin();
            rejoin.run();
            return Verdict.yes(word());
        }
        return life.state() == Lifecycle.State.STARTING ? Verdict.no(word()) : Verdict.yes(word());   // PING
    }

    private String word() {
        return life.state().wireName();
    }

    private Verdict detach(String host, boolean out) {
        return switch (relay.detach(host, out)) {
            case DONE -> Verdict.yes(out ? "detached" : "attached");
            case UNKNOWN -> Verdict.no("no endpoint with that id was ever listed");
            case NO_ROOM -> Verdict.no("no room: too many endpoints are detached, or the journal is full");
        };
    }
}
