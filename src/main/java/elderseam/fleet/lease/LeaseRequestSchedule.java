package elderseam.fleet.lease;

import java.util.SplittableRandom;

/**
 * Gets and keeps one lease: what to ask the group, and when. No I/O; its thread asks {@link #next}, asks the group where
 * it says so, and tells what came of that. Times are nanoseconds of the member's monotonic clock.
 *
 * <p>A request without an answer may have been granted or not: the tenure that was there runs on to its own end and no
 * further, and the same request again is harmless (the table gives the holder its own lease with the token it had).
 */
public final class LeaseRequestSchedule {
    /** What to ask now; {@code NONE}: nothing before {@code atNs}. */
    public enum Ask {
        NONE("NONE"),
        ACQUIRE("ACQUIRE"),
        RENEW("RENEW");

        private final String wireName;

        Ask(String wireName) {
            this.wireName = wireName;
        }

        /** The {@code op} of a request in a history. */
        public String wireName() {
            return wireName;
        }
    }

    public record Step(Ask ask, long token, long atNs) {}

    private static final long MS = 1_000_000, FIRST_RETRY_NS = 50 * MS;

    private final long ttlMs;
    private final LeaseValidity.Bounds bounds;
    private final SplittableRandom random;
    private LeaseValidity tenure;
    private long othersUntil = Long.MIN_VALUE;
    private long nextAt = Long.MIN_VALUE, retryNs = FIRST_RETRY_NS;

    /** {@code random}: spreads the requests of members that wait for one end. */
    public LeaseRequestSchedule(long ttlMs, LeaseValidity.Bounds bounds, SplittableRandom random) {
        this.ttlMs = ttlMs;
        this.bounds = bounds;
        this.random = random;
    }

    public Step next(long now) {
        if (now < nextAt) {
            return new Step(Ask.NONE, 0, nextAt);
        }
        return holds(now) ? new Step(Ask.RENEW, tenure.token(), now) : new Step(Ask.ACQUIRE, 0, now);
    }

    /** What the group said to a request that was sent at {@code sentNs}. */
    public void answered(long sentNs, long now, LeaseTable.Outcome outcome) {
        retryNs = FIRST_RETRY_NS;
        if (outcome.granted()) {
            tenure = LeaseValidity.of(outcome, sentNs, ttlMs, bounds);
            othersUntil = Long.MIN_VALUE;
            nextAt = tenure.renewByNs();
            return;
        }
        tenure = null; // the table has another holder, or has seen the lease end
        long again = Math.min(ttlMs, outcome.againMs()) * MS;
        othersUntil = again > 0 ? now + again + ttlMs * MS / 10 : Long.MIN_VALUE; // until it has been asked for again
        nextAt = now + again + (long) (random.nextDouble() * ttlMs * MS / 20);
    }

    /** The lease was given back by whoever held it: it may be asked for before its end. */
    public void freed(long now) {
        if (!holds(now)) {
            othersUntil = Long.MIN_VALUE;
            nextAt = Math.min(nextAt, now + (long) (random.nextDouble() * ttlMs * MS / 50));
        }
    }

    /** The group gave no answer: it may have no majority, or the links may be cut. */
    public void failed(long now) {
        nextAt = now + (long) (retryNs * (0.75 + 0.5 * random.nextDouble()));
        retryNs = Math.min(ttlMs * MS / 4, 2 * retryNs);
    }

    /** The present tenure, over or not; null where the last word of the group was a refusal, or there was none. */
    public LeaseValidity tenure() {
        return tenure;
    }

    /** Until when another holds it by the group's last word, its renewals not foreseen; the least value where none does. */
    public long othersUntil() {
        return othersUntil;
    }

    public boolean holds(long now) {
        return tenure != null && now < tenure.untilNs();
    }
}
