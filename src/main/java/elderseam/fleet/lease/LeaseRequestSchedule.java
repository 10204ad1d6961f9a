package elderseam.fleet.lease;

import elderseam.fleet.ClockDriftBound;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/**
 * Decides which request for one lease is sent to the group, and when. The caller's thread calls {@link #nextStep},
 * sends the request that it returns, and reports the result.
 *
 * <p>A request without a reply may or may not have been granted. An earlier validity therefore remains until it expires
 * and is not extended. Repeating the request is safe, because the table grants the holder its own lease with the same
 * token.
 *
 * <p>Does no I/O; not thread-safe. Times are nanoseconds of the member's monotonic clock.
 */
public final class LeaseRequestSchedule {
    /** The next action for the lease. */
    public sealed interface NextStep {
        /** Send nothing before {@code untilNs}. */
        record Wait(long untilNs) implements NextStep {}

        /**
         * Send a request now.
         *
         * @param operation ACQUIRE or RENEW
         * @param token the token of the lease to renew; 0 for ACQUIRE
         */
        record Request(LeaseTable.Operation operation, long token) implements NextStep {}
    }

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long INITIAL_BACKOFF_NS = 50 * NANOS_PER_MILLI;

    /** The maximum backoff is the time to live divided by this. */
    private static final int MAX_BACKOFF_DIVISOR = 4;

    private static final double MIN_BACKOFF_JITTER = 0.75;
    private static final double BACKOFF_JITTER_RANGE = 0.5;

    /** Requests of members that wait for the same lease to expire are spread over the time to live divided by this. */
    private static final int EXPIRY_JITTER_DIVISOR = 20;

    /** Requests after a release are spread over the time to live divided by this. */
    private static final int RELEASE_JITTER_DIVISOR = 50;

    /**
     * After its known expiry, another member's lease is assumed to be held for the time to live divided by this, until
     * this member has requested the lease again.
     */
    private static final int HELD_BY_ANOTHER_GRACE_DIVISOR = 10;

    private final long ttlMs;
    private final long ttlNs;
    private final ClockDriftBound driftBound;
    private final SplittableRandom random;
    private Optional<LeaseValidity> validity = Optional.empty();
    private OptionalLong heldByAnotherUntilNs = OptionalLong.empty();
    private long nextRequestNs = Long.MIN_VALUE; // the first request is due immediately
    private long backoffNs = INITIAL_BACKOFF_NS;

    /**
     * @param ttlMs the lease's time to live in milliseconds
     * @param driftBound the bound on the drift of any member's clock
     * @param random the source of jitter, which spreads the requests of members that wait for the same instant
     */
    public LeaseRequestSchedule(long ttlMs, ClockDriftBound driftBound, SplittableRandom random) {
        this.ttlMs = ttlMs;
        this.ttlNs = ttlMs * NANOS_PER_MILLI;
        this.driftBound = driftBound;
        this.random = random;
    }

    /** Returns the action due at {@code nowNs}; does not change the schedule. */
    public NextStep nextStep(long nowNs) {
        if (nowNs < nextRequestNs) {
            return new NextStep.Wait(nextRequestNs);
        }
        return isHeld(nowNs)
                ? new NextStep.Request(
                        LeaseTable.Operation.RENEW, validity.get().token())
                : new NextStep.Request(LeaseTable.Operation.ACQUIRE, 0);
    }

    /** The group's reply to a request sent at {@code sentNs} was received at {@code nowNs}. */
    public void onOutcome(long sentNs, long nowNs, LeaseTable.Outcome outcome) {
        backoffNs = INITIAL_BACKOFF_NS;
        if (outcome.granted()) {
            LeaseValidity granted = LeaseValidity.of(outcome, sentNs, ttlMs, driftBound);
            validity = Optional.of(granted);
            heldByAnotherUntilNs = OptionalLong.empty();
            nextRequestNs = granted.renewAtNs();
        } else {
            validity = Optional.empty(); // another member holds the lease, or it expired in the table
            long retryAfterNs = Math.min(ttlMs, outcome.retryAfterMs()) * NANOS_PER_MILLI;
            heldByAnotherUntilNs = retryAfterNs > 0
                    ? OptionalLong.of(nowNs + retryAfterNs + ttlNs / HELD_BY_ANOTHER_GRACE_DIVISOR)
                    : OptionalLong.empty();
            nextRequestNs = nowNs + retryAfterNs + jitterNs(EXPIRY_JITTER_DIVISOR);
        }
    }

    /** The holder has released the lease, which may thus be requested before its expiry. */
    public void onReleased(long nowNs) {
        if (!isHeld(nowNs)) {
            heldByAnotherUntilNs = OptionalLong.empty();
            nextRequestNs = Math.min(nextRequestNs, nowNs + jitterNs(RELEASE_JITTER_DIVISOR));
        }
    }

    /** The group did not reply to a request: it may have no majority, or the network may be partitioned. */
    public void onRequestFailed(long nowNs) {
        double jitter = MIN_BACKOFF_JITTER + BACKOFF_JITTER_RANGE * random.nextDouble();
        nextRequestNs = nowNs + (long) (backoffNs * jitter);
        backoffNs = Math.min(ttlNs / MAX_BACKOFF_DIVISOR, 2 * backoffNs);
    }

    private long jitterNs(int ttlDivisor) {
        return (long) (random.nextDouble() * ttlMs * NANOS_PER_MILLI / ttlDivisor);
    }

    /**
     * Returns the last validity, expired or not; empty if the group's last reply was a refusal or there was no reply.
     */
    public Optional<LeaseValidity> validity() {
        return validity;
    }

    /**
     * Returns the time until which another member is assumed to hold the lease, according to the group's last reply;
     * empty if none is. Later renewals are not taken into account.
     */
    public OptionalLong heldByAnotherUntilNs() {
        return heldByAnotherUntilNs;
    }

    /** Whether this member holds the lease at {@code nowNs}, according to its own clock. */
    public boolean isHeld(long nowNs) {
        return validity.isPresent() && nowNs < validity.get().expiresAtNs();
    }
}
