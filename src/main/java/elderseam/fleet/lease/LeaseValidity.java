package elderseam.fleet.lease;

import elderseam.fleet.ClockDriftBound;

/**
 * The period in which the holder of a lease may operate under it: only while the lease is certain to be unexpired,
 * judged by the holder's own clock.
 *
 * <p>The time to live is counted from the time at which the holder sent its request, read on its own monotonic clock
 * before sending. The grant gets a later timestamp, so with exact clocks the lease expires later than the time of the
 * request plus the time to live. Clock drift can still make the holder overestimate the remaining time: the clock of
 * the leader that expires the lease may be fast (the lease then expires after {@code ttl / (1 + drift)} of true time),
 * and the holder's clock may be slow (it advances by only {@code 1 - drift} of the true time). The holder therefore
 * operates only until {@code requested + ttl * (1 - drift) / (1 + drift)} on its own clock. A change of leader needs no
 * additional margin, see {@link LeaderClock}. Without the margin, a holder with a slow clock could operate after the
 * lease was granted to another member; {@link LeaseValidityModel} finds such a schedule.
 *
 * <p>All times are nanoseconds of the holder's monotonic clock.
 *
 * @param token the fencing token, sent with every operation on the protected resource
 * @param requestedAtNs when the request was sent
 * @param expiresAtNs when the validity ends; all operations of the holder must have ended by then
 */
public record LeaseValidity(long token, long requestedAtNs, long expiresAtNs) {
    private static final double NANOS_PER_MILLI = 1_000_000;

    /**
     * Returns the validity of a grant for {@code ttlMs} milliseconds that was requested at {@code requestedAtNs}.
     * Throws {@link IllegalArgumentException} if the outcome is a refusal.
     */
    public static LeaseValidity of(
            LeaseTable.Outcome granted, long requestedAtNs, long ttlMs, ClockDriftBound driftBound) {
        if (!granted.granted()) {
            throw new IllegalArgumentException("cannot create a lease validity: the lease was not granted");
        }
        long validNs = (long) (driftBound.shorten(ttlMs) * NANOS_PER_MILLI);
        return new LeaseValidity(granted.token(), requestedAtNs, requestedAtNs + validNs);
    }

    /**
     * Returns whether an operation that ends by {@code endNs} may begin at {@code nowNs}, that is, whether the validity
     * covers the whole operation.
     */
    public boolean mayAct(long nowNs, long endNs) {
        return nowNs >= requestedAtNs && endNs < expiresAtNs && nowNs <= endNs;
    }

    /** Returns when to renew the lease: at half of the validity, which leaves time to repeat a lost renewal. */
    public long renewAtNs() {
        return requestedAtNs + (expiresAtNs - requestedAtNs) / 2;
    }
}
