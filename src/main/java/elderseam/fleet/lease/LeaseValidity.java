package elderseam.fleet.lease;

import elderseam.fleet.ClockDriftBound;

/**
 * How long the holder of a lease may act on it: only while the lease surely holds by the holder's own clock.
 *
 * <p>The time to live is counted from the instant at which the holder sent its request, read on its own monotonic clock
 * before sending: the table stamped the grant later than that, so by true time the lease expires later than that instant
 * plus the time to live. Two things can still make the holder overestimate: the leader that expires the lease may have a
 * fast clock (the lease is then over after {@code ttl / (1 + drift)} of true time), and the holder's own may be slow (it
 * shows only {@code 1 - drift} of the true time that passed). So the holder acts until {@code requested + ttl * (1 -
 * drift) / (1 + drift)} of its own clock. No margin is needed where timestamps of two leaders meet, see {@link
 * LeaderClock}. Without the margin a slow holder acts after another member was granted the lease; {@link
 * LeaseValidityModel} finds that schedule.
 *
 * <p>All times are nanoseconds of the holder's monotonic clock.
 *
 * @param token the fencing token, to be sent with every act on the protected resource
 * @param requestedAtNs when the request was sent
 * @param expiresAtNs when the holder must have stopped acting
 */
public record LeaseValidity(long token, long requestedAtNs, long expiresAtNs) {
    private static final double NANOS_PER_MILLI = 1_000_000;

    /**
     * Returns the validity of a grant for {@code ttlMs} milliseconds that was requested at {@code requestedAtNs}. Throws
     * {@link IllegalArgumentException} if the outcome is no grant.
     */
    public static LeaseValidity of(
            LeaseTable.Outcome granted, long requestedAtNs, long ttlMs, ClockDriftBound driftBound) {
        if (!granted.granted()) {
            throw new IllegalArgumentException("a lease validity needs a granted lease");
        }
        long validNs = (long) (driftBound.shorten(ttlMs) * NANOS_PER_MILLI);
        return new LeaseValidity(granted.token(), requestedAtNs, requestedAtNs + validNs);
    }

    /** Whether an act that ends by {@code endNs} may begin at {@code nowNs}: the whole act lies inside the validity. */
    public boolean mayAct(long nowNs, long endNs) {
        return nowNs >= requestedAtNs && endNs < expiresAtNs && nowNs <= endNs;
    }

    /** Returns when to renew: after half the time, so that one lost renewal leaves time for another. */
    public long renewAtNs() {
        return requestedAtNs + (expiresAtNs - requestedAtNs) / 2;
    }
}
