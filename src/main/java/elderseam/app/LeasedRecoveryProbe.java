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
import java.util.Optional;

/**
 * One member probes a destination whose circuit breakers are open, by a lease of the destination's own. The policy
 * still decides when its probe is due and what comes of it: a probe that is left to another member is put off like one
 * that a Retry-After delays. Confined to the I/O thread.
 */
final class LeasedRecoveryProbe {
    /** The lease's name in the group is this and the destination's number. */
    private static final String LEASE_PREFIX = "trial:";

    /** What the holder publishes once the destination has recovered. */
    private static final String RECOVERED = "back";

    /** A probe is put off for two checks, so the next one comes in time. */
    private static final long PROBE_DEFERRAL_NS = 500 * Clock.MILLISECOND_NS;

    /** A holder may be ready for a probe for so long without an outcome. */
    private static final long IDLE_LIMIT_NS = 2_000 * Clock.MILLISECOND_NS;

    private final Clock clock;
    private final RequestDispatcher dispatcher;
    private final EndpointList endpoints;
    private final LeaseService leases;
    private final long pauseNs;

    /** Of destinations whose breakers were not closed lately. */
    private final Map<Long, RecoveryProbeTask> probesByDestination = new HashMap<>();

    /**
     * Probes from the first {@link #check} on.
     *
     * @param pauseNs how long a holder that has nothing to probe with leaves the lease to others
     */
    LeasedRecoveryProbe(
            Clock clock, RequestDispatcher dispatcher, EndpointList endpoints, LeaseService leases, long pauseNs) {
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.endpoints = endpoints;
        this.leases = leases;
        this.pauseNs = pauseNs;
    }

    /** Decides for each destination whether this member probes it. */
    void check() {
        dispatcher.forEachBreaker(this::check);
    }

    private void check(long destination, BreakerView breaker) {
        boolean closed = breaker.state() == elderseam.policy.BreakerState.CLOSED;
        RecoveryProbeTask probe = closed
                ? probesByDestination.get(destination)
                : probesByDestination.computeIfAbsent(destination, d -> new RecoveryProbeTask(IDLE_LIMIT_NS, pauseNs));
        if (probe == null) {
            return;
        }
        String leaseName = LEASE_PREFIX + destination;
        Optional<LeaseValidity> lease = leases.lease(leaseName);
        BreakerState state = state(breaker.state());
        RecoveryProbeTask.Decision decision =
                probe.decide(clock.now(), state, LeaseOwner.of(lease.isPresent(), leases.isHeldByAnother(leaseName)));
        if (decision.publishesRecovery()) {
            var unused = leases.publish(leaseName, lease.orElseThrow(), RECOVERED);
        }
        leases.want(leaseName, decision.wantsLease());
        if (decision.defersProbe()) {
            dispatcher.deferAttempts(endpoints.idsOf(destination), PROBE_DEFERRAL_NS);
        }
        if (closed && !decision.wantsLease()) {
            probesByDestination.remove(destination);
        }
    }

    private static BreakerState state(elderseam.policy.BreakerState own) {
        return switch (own) {
            case CLOSED -> BreakerState.CLOSED;
            case HALF_OPEN -> BreakerState.HALF_OPEN;
            case OPEN -> BreakerState.OPEN;
        };
    }

    /** The holder of that lease reports that its destination has recovered. */
    void onPublished(String leaseName) {
        if (!leaseName.startsWith(LEASE_PREFIX)) {
            return;
        }
        RecoveryProbeTask probe = probesByDestination.get(Long.parseLong(leaseName.substring(LEASE_PREFIX.length())));
        if (probe != null) {
            probe.onRecoveryPublished();
        }
    }
}
