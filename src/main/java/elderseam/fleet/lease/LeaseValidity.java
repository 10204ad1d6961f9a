package elderseam.fleet.lease;

/**
 * The holder's own rule of when it may act on a lease: only while the lease surely holds by its own clock.
 *
 * <p>The term is counted from the instant the holder sent its request, read on its own monotonic clock before the send:
 * the table stamped the grant later than that, so by true time the lease ends later than that instant plus the term. Two
 * things can still make the holder's count run past the truth: the leader that ends the lease may have a clock that runs
 * fast (the term is then over after {@code ttl / (1 + drift)} of true time), and the holder's own may run slow (it shows
 * only {@code 1 - drift} of the true time passed). So the holder acts until {@code sent + ttl * (1 - drift) / (1 + drift)} of
 * its own clock. Where stamps of two leaders meet no margin is needed: {@link LeaderClock}. Without the margin a slow
 * holder acts after another has been granted the name; the model test finds that schedule.
 *
 * <p>Times are nanoseconds of the holder's monotonic clock, given as arguments.
 */
public record LeaseValidity(long token, long sentNs, long untilNs) {
    /** The margin of a fleet: no member's clock runs faster or slower than true time by more than this fraction. */
    public record Bounds(double drift) {
        public Bounds {
            if (!(drift >= 0 && drift < 0.5)) {
                throw new IllegalArgumentException("drift from 0 to 0.5 allowed, not " + drift);
            }
        }
    }

    /** The tenure of a grant for {@code ttlMs} that was asked for at {@code sentNs}. */
    public static LeaseValidity of(LeaseTable.Outcome granted, long sentNs, long ttlMs, Bounds bounds) {
        if (!granted.granted()) {
            throw new IllegalArgumentException("a tenure needs a granted lease");
        }
        double sureMs = ttlMs * (1 - bounds.drift()) / (1 + bounds.drift());
        return new LeaseValidity(granted.token(), sentNs, sentNs + (long) (sureMs * 1_000_000));
    }

    /** Whether an act that ends by {@code endNs} may begin at {@code nowNs}: the whole act ends before the term does. */
    public boolean mayAct(long nowNs, long endNs) {
        return nowNs >= sentNs && endNs < untilNs && nowNs <= endNs;
    }

    /** The instant to renew by: half the term, so that one lost renewal still leaves time for another. */
    public long renewByNs() {
        return sentNs + (untilNs - sentNs) / 2;
    }
}
