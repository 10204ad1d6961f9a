package elderseam.fleet.lease;

/**
 * The holder's own rule of when it may act on a lease: only while the lease surely holds by its own clock.
 *
 * <p>The term is counted from the instant the holder sent its request, read on its own monotonic clock before the send:
 * the table stamped the grant later than that, so the lease there ends later than {@code sent + ttl} of true time. Two
 * things can still make the holder's count run short of the truth, and both are taken off: its clock may run slower than
 * the leaders' by up to {@code drift} (a fraction: 0.05 is 5%), and the leaders' wall clocks may stand apart by up to
 * {@code skewMs}. A clock that runs slow by {@code drift} shows only {@code 1 - drift} of the true time passed, so the holder acts
 * until {@code sent + (ttl - skew) * (1 - drift)} of its own clock. Without these margins a holder
 * stalled or slow acts after another has been granted the name; the model test finds that schedule.
 *
 * <p>Times are nanoseconds of the holder's monotonic clock, given as arguments.
 */
public record Tenure(long token, long sentNs, long untilNs) {
    /** The margins of a fleet: the largest rate by which a member's clock may run slow, and the leaders' skew. */
    public record Bounds(double drift, long skewMs) {
        public Bounds {
            if (!(drift >= 0 && drift < 0.5) || skewMs < 0) {
                throw new IllegalArgumentException("drift from 0 to 0.5 and skew_ms of 0 or more allowed, not " + drift + " and " + skewMs);
            }
        }
    }

    /** The tenure of a grant; where the margins eat the whole term it ends as it begins, and the holder never acts. */
    public static Tenure of(LeaseTable.Outcome granted, long sentNs, long ttlMs, Bounds bounds) {
        if (!granted.granted()) {
            throw new IllegalArgumentException("a tenure needs a granted lease");
        }
        double sureMs = Math.max(0, ttlMs - bounds.skewMs()) * (1 - bounds.drift());
        return new Tenure(granted.token(), sentNs, sentNs + (long) (sureMs * 1_000_000));
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
