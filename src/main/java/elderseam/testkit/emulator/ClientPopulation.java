package elderseam.testkit.emulator;

import elderseam.core.ActiveRequest;
import elderseam.core.FinalOutcome;
import elderseam.testkit.emulator.WorldListener.ClientRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** Everybody who hands messages in, and the front layer that picks a dispatcher: arrivals do not wait for answers (open loop). */
final class ClientPopulation {
    private static final long MS = EmulatedWorld.MS;
    private static final long S = EmulatedWorld.S;
    private static final long DAY_NS = 86_400 * S;
    private static final byte[] BODY = new byte[200];
    private static final double BURST_SHARE = 0.1;
    private static final double BURST_S = 1;

    private static final class Open {
        final ClientRequest m;
        int tries;
        boolean taken;

        Open(ClientRequest m) {
            this.m = m;
        }
    }

    private final EmulatedWorld world;
    private final Scenario plan;
    private final UniformRandomProvider arrivals;
    private final UniformRandomProvider choices;
    private final UniformRandomProvider front;
    private final UniformRandomProvider habits;
    private final Map<String, Open> open = new HashMap<>();
    private final double[] upTo; // of destinations: the rates added up
    private final EmulatedDestination[] order;
    private final double[] mixUpTo = new double[3];
    private long ids;
    private boolean bursting;

    ClientPopulation(EmulatedWorld world) {
        this.world = world;
        this.plan = world.plan;
        this.arrivals = world.draws.of("arrivals");
        this.choices = world.draws.of("choices");
        this.front = world.draws.of("front");
        this.habits = world.draws.of("habits");
        this.order = world.destinations.values().toArray(new EmulatedDestination[0]);
        this.upTo = new double[order.length];
        double sum = 0;
        for (int i = 0; i < order.length; i++) {
            sum += order[i].kind.callsPerSecond()
                    * order[i].kind.load()
                    * plan.clients().scale();
            upTo[i] = sum;
        }
        double mix = 0;
        for (int i = 0; i < 3; i++) {
            mix += plan.clients().mix()[i];
            mixUpTo[i] = mix;
        }
    }

    void begin() {
        if (plan.clients().arrivals() == Scenario.Arrivals.BURSTY) {
            burst();
        }
        next();
    }

    /** A tenth of the time a burst; the rest so much less that the mean stays. */
    private void burst() {
        double mean = bursting ? BURST_S * (1 - BURST_SHARE) / BURST_SHARE : BURST_S;
        bursting = !bursting;
        world.time.at(world.time.now() + (long) (RandomStreams.exponential(arrivals, mean) * S), this::burst);
    }

    private double floods(long now) {
        double more = 0;
        for (Scenario.Flood f : plan.floods()) {
            more += now >= f.start() * S && now < f.end() * S
                    ? (f.factor() - 1) / plan.clients().tenants()
                    : 0;
        }
        return more;
    }

    /** Messages a second that are wanted now. */
    private double rate(long now) {
        double rate = plan.requestRate() * (1 + floods(now));
        return switch (plan.clients().arrivals()) {
            case BURSTY ->
                rate
                        * (bursting
                                ? plan.clients().burstFactor()
                                : Math.max(
                                        0.05, (1 - BURST_SHARE * plan.clients().burstFactor()) / (1 - BURST_SHARE)));
            case CLUMPED -> rate / plan.clients().clumpSize();
            case DIURNAL -> { // the plan's length is a day, least at its ends; month-end doubles the afternoon
                double day = now / (plan.seconds() * S);
                yield rate * (1 - Math.cos(2 * Math.PI * day)) * (plan.clients().monthEnd() && day > 0.5 ? 2 : 1);
            }
            default -> rate;
        };
    }

    private void next() {
        double most = Math.max(1e-9, rate(world.time.now()));
        long gap = (long)
                Math.min(S / 4, RandomStreams.exponential(arrivals, S / most)); // looked at anew where the rate moves
        boolean comes = gap < S / 4;
        long at = world.time.now() + Math.max(1, gap);
        if (at >= plan.seconds() * S || at >= DAY_NS * 365) {
            return;
        }
        world.time.at(at, () -> {
            if (comes) {
                int n = plan.clients().arrivals() == Scenario.Arrivals.CLUMPED
                        ? plan.clients().clumpSize()
                        : 1;
                EmulatedDestination d = destination();
                for (int i = 0; i < n; i++) {
                    make(d);
                }
            }
            next();
        });
    }

    private EmulatedDestination destination() {
        double draw = choices.nextDouble() * upTo[upTo.length - 1];
        int at = java.util.Arrays.binarySearch(upTo, draw);
        return order[Math.min(order.length - 1, at < 0 ? -at - 1 : at + 1)];
    }

    private void make(EmulatedDestination d) {
        long now = world.time.now();
        double draw = choices.nextDouble() * mixUpTo[2];
        int cls = draw < mixUpTo[0] ? 0 : draw < mixUpTo[1] ? 1 : 2;
        ClientRequest m = new ClientRequest(
                "m" + ids++,
                cls,
                tenant(now),
                d.id,
                now,
                now + Policies.CLASSES.get(cls).deadlineNs());
        Open o = new Open(m);
        open.put(m.id(), o);
        hand(o);
    }

    private int tenant(long now) {
        int tenants = plan.clients().tenants();
        double draw = choices.nextDouble() * (1 + floods(now));
        if (draw < 1) {
            return (int) (draw * tenants);
        }
        draw -= 1;
        for (Scenario.Flood f : plan.floods()) {
            if (now >= f.start() * S && now < f.end() * S) {
                draw -= (f.factor() - 1) / tenants;
                if (draw < 0) {
                    return (f.tenant() - 1) % tenants;
                }
            }
        }
        return 0;
    }

    /** Hands a message in, or in again, at a dispatcher that answers. */
    private void hand(Open o) {
        EmulatedWorld.Seat seat = world.any(front);
        boolean again = o.tries++ > 0;
        world.watcher.submitted(world.time.now(), o.m, again);
        if (seat == null) {
            again(o, 500 * MS);
            return;
        }
        ClientRequest m = o.m;
        o.taken = true;
        FinalOutcome answer = seat.instance.take(new ActiveRequest.Message(
                m.id(),
                (byte) 0,
                m.requestClass(),
                m.tenant(),
                m.destination(),
                m.deadline(),
                m.deadline(),
                again,
                true,
                "",
                BODY));
        if (answer != null) {
            answered(m.id(), answer);
        } else {
            world.watcher.accepted(world.time.now(), seat.number, m);
        }
    }

    ClientRequest known(String id) {
        Open o = open.get(id);
        return o == null ? new ClientRequest(id, 0, 0, 0, world.time.now(), world.time.now()) : o.m;
    }

    /** A final answer of a dispatcher. */
    void answered(String id, FinalOutcome answer) {
        Open o = open.get(id);
        if (o == null || !o.taken) {
            world.watcher.answeredUnexpectedly(world.time.now(), id, answer);
            return;
        }
        o.taken = false;
        world.watcher.answered(world.time.now(), o.m, answer);
        if (answer.kind() == FinalOutcome.Kind.REJECTED) {
            again(o, answer.retryAfterNs());
        } else {
            end(o, answer.kind());
        }
    }

    /** The client comes again when it was told to and somewhat later, while there is time and it has not lost patience. */
    private void again(Open o, long afterNs) {
        long at = world.time.now() + Math.max(100 * MS, afterNs) + (long) (200 * MS * habits.nextDouble());
        long window = Policies.CLASSES.get(o.m.requestClass()).keyWindowNs();
        boolean past = window > 0
                && at >= o.m.created() + window; // a repeat would no longer be dropped, as the platform's clients know
        if (past || at >= o.m.deadline() || o.tries > plan.clients().maxRetries()) {
            end(o, FinalOutcome.Kind.REJECTED);
        } else {
            world.time.at(at, () -> hand(o));
        }
    }

    private void end(Open o, FinalOutcome.Kind kind) {
        open.remove(o.m.id());
        world.watcher.finished(world.time.now(), o.m, kind);
    }

    /** The run is over: what is still open never had its answer. */
    void over() {
        List<Open> left = new ArrayList<>(open.values());
        open.clear();
        left.forEach(o -> world.watcher.lost(world.time.now(), o.m));
    }
}
