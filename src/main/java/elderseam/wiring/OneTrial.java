package elderseam.wiring;

import elderseam.core.Clock;
import elderseam.core.Relay;
import elderseam.fleet.lease.Tenure;
import elderseam.fleet.lease.TrialDuty;
import elderseam.module.Sender;
import elderseam.platform.Hosts;
import java.util.HashMap;
import java.util.Map;

/**
 * One member tries a destination whose breakers are open, by a lease of the destination's own; of the I/O thread. The module
 * still decides when its trial is due and what comes of it: one that is left to another is put off as a told wait puts it off.
 */
final class OneTrial {
    private static final String LEASE = "trial:";
    private static final long DEFER_NS = 500 * Clock.MS;   // two looks: the next one comes in time
    private static final long IDLE_NS = 2_000 * Clock.MS;

    private final Clock clock;
    private final Relay relay;
    private final Hosts hosts;
    private final FleetWiring fleet;
    private final long pauseNs;
    private final Map<Long, TrialDuty> duties = new HashMap<>();   // of destinations that were not closed lately

    /** {@code pauseNs}: how long a holder that has nothing to try with leaves the lease to others. */
    OneTrial(Clock clock, Relay relay, Hosts hosts, FleetWiring fleet, long pauseNs) {
        this.clock = clock;
        this.relay = relay;
        this.hosts = hosts;
        this.fleet = fleet;
        this.pauseNs = pauseNs;
    }

    void look() {
        relay.breakers(this::look);
    }

    private void look(long destination, Sender.Breaker breaker) {
        boolean closed = breaker.standing() == Sender.Standing.CLOSED;
        TrialDuty duty = closed ? duties.get(destination) : duties.computeIfAbsent(destination, d -> new TrialDuty(IDLE_NS, pauseNs));
        if (duty == null) {
            return;
        }
        String lease = LEASE + destination;
        Tenure held = fleet.tenure(lease);
        TrialDuty.Turn turn = duty.look(clock.now(), standing(breaker.standing()), held != null, fleet.another(lease));
        if (turn.tells()) {
            fleet.publish(lease, held, "back");
        }
        fleet.want(lease, turn.wants());
        if (turn.defers()) {
            relay.defer(hosts.of(destination), DEFER_NS);
        }
        if (closed && !turn.wants()) {
            duties.remove(destination);
        }
    }

    private static TrialDuty.Standing standing(Sender.Standing own) {
        return switch (own) {
            case CLOSED -> TrialDuty.Standing.CLOSED;
            case HALF_OPEN -> TrialDuty.Standing.HALF_OPEN;
            case OPEN -> TrialDuty.Standing.OPEN;
        };
    }

    /** The holder of that lease says that its destination is back. */
    void heard(String lease) {
        TrialDuty duty = lease.startsWith(LEASE) ? duties.get(Long.parseLong(lease.substring(LEASE.length()))) : null;
        if (duty != null) {
            duty.back();
        }
    }
}
