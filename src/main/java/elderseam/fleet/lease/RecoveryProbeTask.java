package elderseam.fleet.lease;

import elderseam.fleet.BreakerState;
import java.util.OptionalLong;

/**
 * Decides whether a member may send a recovery probe to a destination whose circuit breaker is open, or leaves the
 * probe to the holder of the destination's lease. There is one instance per destination, which is called periodically.
 *
 * <p>A member leaves the probe to another member only while that member holds the lease according to the group's last
 * reply, and only until the holder has published that the destination has recovered. A holder without a request to send
 * as a probe (its breaker is half-open, but no request is sent) releases the lease for some time. If the group does not
 * reply, each member probes the destination itself.
 *
 * <p>Does no I/O; not thread-safe. Times are nanoseconds of the member's monotonic clock.
 */
public final class RecoveryProbeTask {
    private final long maxIdleNs;
    private final long yieldNs;
    private OptionalLong halfOpenSinceNs = OptionalLong.empty();
    private long yieldsUntilNs = Long.MIN_VALUE; // before any clock reading
    private boolean inOutage;
    private boolean recoveryPublishedHere; // by this member as the holder, after the last outage
    private boolean recoveryPublishedByHolder; // during this outage

    /**
     * The actions for this member.
     *
     * @param wantsLease whether this member should hold the lease
     * @param defersProbe whether this member must not send a probe yet
     * @param publishesRecovery whether this member, as the holder, must publish that the destination has recovered
     */
    public record Decision(boolean wantsLease, boolean defersProbe, boolean publishesRecovery) {}

    /**
     * @param maxIdleNs how long a holder's breaker may be half-open without the outcome of a probe
     * @param yieldNs how long the holder then leaves the lease to other members
     */
    public RecoveryProbeTask(long maxIdleNs, long yieldNs) {
        this.maxIdleNs = maxIdleNs;
        this.yieldNs = yieldNs;
    }

    /** The holder has published that the destination has recovered. */
    public void onRecoveryPublished() {
        recoveryPublishedByHolder = true;
    }

    /** Returns the actions for the state of this member's breaker and the holder of the destination's lease. */
    public Decision decide(long nowNs, BreakerState ownBreaker, LeaseOwner owner) {
        boolean holdsLease = owner == LeaseOwner.THIS_MEMBER;
        return ownBreaker == BreakerState.CLOSED
                ? decideWhileClosed(holdsLease)
                : decideInOutage(nowNs, ownBreaker, owner, holdsLease);
    }

    private Decision decideWhileClosed(boolean holdsLease) {
        boolean publishes = inOutage && holdsLease;
        inOutage = false;
        recoveryPublishedHere = (recoveryPublishedHere && holdsLease) || publishes;
        halfOpenSinceNs = OptionalLong.empty();
        return new Decision(holdsLease && !recoveryPublishedHere, false, publishes);
    }

    private Decision decideInOutage(long nowNs, BreakerState ownBreaker, LeaseOwner owner, boolean holdsLease) {
        if (!inOutage) { // a recovery published during an earlier outage does not apply to this one
            inOutage = true;
            recoveryPublishedHere = false;
            recoveryPublishedByHolder = false;
        }
        if (ownBreaker == BreakerState.OPEN) {
            halfOpenSinceNs = OptionalLong.empty();
        } else if (halfOpenSinceNs.isEmpty()) {
            halfOpenSinceNs = OptionalLong.of(nowNs);
        }
        boolean isIdle = halfOpenSinceNs.isPresent() && nowNs - halfOpenSinceNs.getAsLong() > maxIdleNs;
        if (holdsLease && isIdle) {
            yieldsUntilNs = nowNs + yieldNs;
        }
        boolean wantsLease = !recoveryPublishedByHolder && nowNs >= yieldsUntilNs;
        boolean defersProbe = owner == LeaseOwner.ANOTHER_MEMBER && !recoveryPublishedByHolder;
        return new Decision(wantsLease, defersProbe, false);
    }
}
