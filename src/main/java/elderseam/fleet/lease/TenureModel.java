package elderseam.fleet.lease;

import elderseam.fleet.lease.LeaseTable.Command;
import elderseam.fleet.lease.LeaseTable.Op;
import java.util.Optional;

/**
 * An exhaustive model of the holder's acting rule: three processes (the leader whose clock stamps the table, a first
 * holder, a second that asks until it is granted) in steps of one millisecond, over every combination of the first
 * holder's clock rate, the delay of its grant, the leader's skew at the second grant, and the start and length of every
 * act the first holder may try. The table and the rule are the shipped ones ({@link LeaseTable}, {@link Tenure}).
 *
 * <p>A schedule is unsafe where the first holder, by its own clock, acts at a true instant at which the second already
 * holds the name. With the margins of {@link Tenure.Bounds} at least the true drift and skew, none is; with none, the
 * search finds one (a slow clock acting late).
 */
public final class TenureModel {
    /** A schedule that broke the rule: the first holder's rate, grant delay, leader's skew, and the act's true span. */
    public record Counterexample(double rate, long delayMs, long skewMs, long actFromMs, long actToMs, long secondFromMs) {}

    private TenureModel() {}

    /**
     * Explores every schedule with a true drift up to {@code trueDrift} and a true skew up to {@code trueSkewMs}, the holder
     * keeping the margins {@code bounds}; {@code ttlMs} is the lease's term.
     */
    public static Optional<Counterexample> explore(long ttlMs, double trueDrift, long trueSkewMs, Tenure.Bounds bounds) {
        double[] rates = {1 - trueDrift, 1, 1 + trueDrift};
        long step = Math.max(1, ttlMs / 100);
        for (double rate : rates) {
            for (long delay = 0; delay <= ttlMs / 4; delay += step) {
                for (long skew = -trueSkewMs; skew <= trueSkewMs; skew += Math.max(1, trueSkewMs)) {
                    long second = secondGrant(ttlMs, delay, skew);
                    LeaseTable.Outcome first = new LeaseTable.Outcome(true, "p", 1, delay + ttlMs, 0);
                    Tenure tenure = Tenure.of(first, 0, ttlMs, bounds);
                    for (long from = 0; from <= 2 * ttlMs; from += step) {
                        for (long length : new long[] {0, step, 4 * step}) {
                            // The holder reads its own clock, which shows true time times its rate.
                            long localFrom = (long) (from * rate * 1_000_000), localTo = (long) ((from + length) * rate * 1_000_000);
                            if (tenure.mayAct(localFrom, localTo) && from + length >= second) {
                                return Optional.of(new Counterexample(rate, delay, skew, from, from + length, second));
                            }
                        }
                    }
                }
            }
        }
        return Optional.empty();
    }

    /**
     * The first true instant at which the table grants the second holder: the first grant was stamped at {@code delay} by
     * a true clock, the second asks every millisecond and is stamped by a leader whose clock stands {@code skew} ahead.
     */
    private static long secondGrant(long ttlMs, long delay, long skew) {
        LeaseTable table = new LeaseTable();
        table.apply(new Command(Op.ACQUIRE, "task", "p", 0, ttlMs, delay));
        for (long t = delay; ; t++) {
            if (table.apply(new Command(Op.ACQUIRE, "task", "q", 0, ttlMs, t + skew)).granted()) {
                return t;
            }
        }
    }
}
