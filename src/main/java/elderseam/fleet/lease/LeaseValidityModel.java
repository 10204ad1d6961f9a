package elderseam.fleet.lease;

import elderseam.fleet.lease.LeaseTable.Command;
import elderseam.fleet.lease.LeaseTable.Op;
import java.util.Optional;

/**
 * An exhaustive model of the holder's acting rule: three processes (two that lead one after the other and stamp the table,
 * and a holder; the second holder asks every millisecond until it is granted) over every combination of the three clocks'
 * rates, the delay of the first grant, the instant at which the lead passes on, and the start and length of every act the
 * first holder may try. The table, the stamps and the rule are the shipped ones ({@link LeaseTable}, {@link LeaderClock},
 * {@link LeaseValidity}).
 *
 * <p>A schedule is unsafe where the first holder, by its own clock, acts at a true instant at which the second already
 * holds the name. With a margin of at least the true drift none is; with none, or with a table that trusts wall clocks
 * which stand apart, the search finds one.
 */
public final class LeaseValidityModel {
    /** A schedule that broke the rule: rates of holder and leaders, the grant's delay, the change of lead, the act's true span. */
    public record Counterexample(
            double holder,
            double first,
            double second,
            long delayMs,
            long changeMs,
            long actFromMs,
            long actToMs,
            long grantedMs) {}

    private LeaseValidityModel() {}

    /**
     * Explores every schedule with clocks that run off true time by up to {@code trueDrift}, the holder keeping the margin
     * {@code bounds}; {@code ttlMs} is the lease's term, and the second leader's stamps are {@code aheadMs} further than its
     * term allows (0 as shipped; what a wall clock that stands ahead would give).
     */
    public static Optional<Counterexample> explore(
            long ttlMs, double trueDrift, long aheadMs, LeaseValidity.Bounds bounds) {
        double[] rates = {1 - trueDrift, 1, 1 + trueDrift};
        long step = Math.max(1, ttlMs / 100);
        for (double first : rates) {
            for (double second : rates) {
                for (long delay = 0; delay <= ttlMs / 4; delay += 5 * step) {
                    for (long change = delay; change <= 2 * ttlMs; change += 10 * step) {
                        long granted = secondGrant(ttlMs, delay, change, first, second, aheadMs);
                        LeaseValidity tenure =
                                LeaseValidity.of(new LeaseTable.Outcome(true, "p", 1, 0, 0), 0, ttlMs, bounds);
                        for (double holder : rates) {
                            long from = unsafe(tenure, holder, granted, ttlMs, step);
                            if (from >= 0) {
                                return Optional.of(new Counterexample(
                                        holder, first, second, delay, change, from, granted, granted));
                            }
                        }
                    }
                }
            }
        }
        return Optional.empty();
    }

    /** The true start of an act that the holder's clock allows and that still runs at {@code granted}; -1 where there is none. */
    private static long unsafe(LeaseValidity tenure, double rate, long granted, long ttlMs, long step) {
        for (long from = 0; from <= 2 * ttlMs; from += step) {
            for (long to = Math.max(from, granted); to <= Math.max(from, granted) + 4 * step; to += 4 * step) {
                if (tenure.mayAct((long) (from * rate * 1_000_000), (long) (to * rate * 1_000_000))) {
                    return from;
                }
            }
        }
        return -1;
    }

    /** The first true instant at which the table grants the second holder. */
    private static long secondGrant(long ttlMs, long delay, long change, double first, double second, long aheadMs) {
        LeaseTable table = new LeaseTable();
        LeaderClock one = new LeaderClock(), two = new LeaderClock();
        table.apply(
                new Command(Op.ACQUIRE, "task", "p", 0, ttlMs, one.stamp(1, 0, (long) (delay * first * 1_000_000))));
        for (long t = delay; ; t++) {
            long stamp = t < change
                    ? one.stamp(1, table.now(), (long) (t * first * 1_000_000))
                    : two.stamp(2, table.now(), (long) (t * second * 1_000_000)) + aheadMs;
            if (table.apply(new Command(Op.ACQUIRE, "task", "q", 0, ttlMs, stamp))
                    .granted()) {
                return t;
            }
        }
    }
}
