package elderseam.app;

import elderseam.core.Clock;
import elderseam.core.RequestDispatcher;
import elderseam.fleet.BreakerState;
import elderseam.fleet.lease.LeaseOwner;
import elderseam.fleet.lease.LeaseValidity;
import elderseam.fleet.lease.RecoveryProbeTask;
import elderseam.frontend.platform.EndpointList;
import elderseam.policy.BreakerView;
import java.util.HashMap;
import java.util.Map;

/**
 * One member tries a destination whose breakers are open, by a lease of the destination's own; of the I/O thread. The module
 * still decides when its trial is due and what comes of it: one that is left to another is put off as a told wait puts it off.
 */
final class LeasedRecoveryProbe {
    private static final String LEASE = "trial:";
    private static final long DEFER_NS = 500 * Clock.MS; // two looks: the next one comes in time
    private static final long IDLE_NS = 2_000 * Clock.MS;

    private final Clock clock;
    private final RequestDispatcher relay;
    private final EndpointList hosts;
    private final LeaseService fleet;
    private final long pauseNs;
    private final Map<Long, RecoveryProbeTask> duties = new HashMap<>(); // of destinations that were not closed lately

    /** {@code pauseNs}: how long a holder that has nothing to try with leaves the lease to others. */
    LeasedRecoveryProbe(Clock clock, RequestDispatcher relay, EndpointList hosts, LeaseService fleet, long pauseNs) {
        this.clock = clock;
        this.relay = relay;
        this.hosts = hosts;
        this.fleet = fleet;
        this.pauseNs = pauseNs;
    }

    void look() {
        relay.forEachBreaker(this::look);
    }

    private void look(long destination, BreakerView breaker) {
        boolean closed = breaker.state() == elderseam.policy.BreakerState.CLOSED;
        RecoveryProbeTask duty = closed
                ? duties.get(destination)
                : duties.computeIfAbsent(destination, d -> new RecoveryProbeTask(IDLE_NS, pauseNs));
        if (duty == null) {
            return;
        }
        String lease = LEASE + destination;
        LeaseValidity held = fleet.tenure(lease);
        RecoveryProbeTask.Decision turn =
                duty.decide(clock.now(), standing(breaker.state()), LeaseOwner.of(held != null, fleet.another(lease)));
        if (turn.publishesRecovery()) {
            fleet.publish(lease, held, "back");
        }
        fleet.want(lease, turn.wantsLease());
        if (turn.defersProbe()) {
            relay.defer(hosts.of(destination), DEFER_NS);
        }
        if (closed && !turn.wantsLease()) {
            duties.remove(destination);
        }
    }

    private static BreakerState standing(elderseam.policy.BreakerState own) {
        return switch (own) {
            case CLOSED -> BreakerState.CLOSED;
            case HALF_OPEN -> BreakerState.HALF_OPEN;
            case OPEN -> BreakerState.OPEN;
        };
    }

    /** The holder of that lease says that its destination is back. */
    void heard(String lease) {
        RecoveryProbeTask duty =
                lease.startsWith(LEASE) ? duties.get(Long.parseLong(lease.substring(LEASE.length()))) : null;
        if (duty != null) {
            duty.onRecoveryPublished();
        }
    }
}
