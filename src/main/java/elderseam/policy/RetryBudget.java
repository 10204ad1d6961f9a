package elderseam.policy;

/**
 * How many further tries a destination may get for the first tries it got, by a bucket as in Finagle's retry budget: each first
 * try puts in {@code share}, each further one takes 1 out. Since every sender keeps to the same share, so does the sum of all,
 * however many they are; on top comes a least rate, of which each has its part, so that a few messages may always be tried
 * again. Shares are 0 to 1, rates a second, times nanoseconds; not thread-safe.
 */
final class RetryBudget {
    private static final double MOST_S = 10, MOST_TRIES = 20; // what may be saved up: of the rate, of first tries

    private double level = 1;
    private long at = Long.MIN_VALUE;

    private void refill(long now, double share, double rate) {
        double dt = at == Long.MIN_VALUE ? 0 : (now - at) / 1e9;
        at = now;
        level = Math.min(Math.max(1, MOST_S * rate + MOST_TRIES * share), level + dt * rate);
    }

    /** A first try has gone there. */
    void tried(long now, double share, double rate) {
        refill(now, share, rate);
        level += share;
    }

    /** Whether a further try may go soon; it is taken where it may. */
    boolean again(long now, double share, double rate) {
        refill(now, share, rate);
        if (level < 1) {
            return false;
        }
        level--;
        return true;
    }
}
