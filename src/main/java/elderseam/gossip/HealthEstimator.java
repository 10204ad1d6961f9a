package elderseam.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What claims may do: an arithmetic of doubt. The doubt about a destination, 0 to 1, only makes own failures weigh more; it
 * does nothing where there are none. Each reporter is worth at most 1,
 * times what its evidence says, and the first of them nothing: one alone is below the
 * least effect, whatever it says, and the doubt grows with what the others add, to 1 at four of full worth.
 *
 * <p>A reporter that says open of a destination that answers this member's own calls well loses half of its worth, once for a
 * claim; it regains what it lost with a time constant of ten minutes. So a member that lies for ever is worth about nothing
 * after a few claims, and one that erred is heard again within the hour.
 */
public final class HealthEstimator {
    static final double START = 0.8, CONTRADICTED = 0.5;
    static final double REGAIN_NS = 600e9;
    /** Own calls of the last 10 s of which this share was delivered contradict a claim that the destination is down. */
    static final double WELL = 0.8;

    static final int ENOUGH_CALLS = 5;
    private static final double FULL = 4;

    private static final class Worth {
        double value = START;
        long at;
        final Map<Long, Long> contradicted = new HashMap<>(); // destination: number of the claim that cost
    }

    private final Map<String, Worth> worth = new HashMap<>();

    /** What a reporter is worth now, 0 to 1. */
    public double worth(String reporter, long now) {
        Worth w = worth.get(reporter);
        if (w == null) {
            return START;
        }
        w.value = 1 - (1 - w.value) * Math.exp(-(now - w.at) / REGAIN_NS);
        w.at = now;
        return w.value;
    }

    /**
     * The doubt about a destination: {@code claims} of it that count now, {@code calls} and {@code delivered} of this member's
     * own of the last 10 s.
     */
    public double doubt(List<HealthReport> claims, int calls, int delivered, long now) {
        double sum = 0;
        boolean well = calls >= ENOUGH_CALLS && delivered >= WELL * calls;
        for (HealthReport c : claims) {
            if (c.state() != HealthReport.State.OPEN) {
                continue;
            }
            if (well) {
                contradict(c, now);
            }
            sum += worth(c.reporter(), now) * evidence(c);
        }
        return well ? 0 : Math.max(0, Math.min(1, (sum - 1) / (FULL - 1)));
    }

    /**
     * How far what it saw speaks of an outage: nothing below two failures of five calls, all at four of five, with two calls
     * more laid to the other side. Where a third of all calls fail, breakers trip now and then: others are not to follow.
     */
    static double evidence(HealthReport c) {
        return Math.max(0, Math.min(1, ((double) c.failures() / (c.calls() + 2) - 0.4) / 0.4));
    }

    private void contradict(HealthReport c, long now) {
        double before = worth(c.reporter(), now);
        Worth w = worth.computeIfAbsent(c.reporter(), r -> new Worth());
        if (w.contradicted.size() > 256) {
            w.contradicted.clear();
        }
        Long cost = w.contradicted.put(c.destination(), c.number());
        if (cost == null || cost != c.number()) {
            w.value = before * CONTRADICTED;
            w.at = now;
        }
    }

    /**
     * How many of the fleet will try a destination about now, with this member: those that say open or half open, by worth.
     * The trial of each is spread over so many sleeping windows that all together stay few.
     */
    public double trying(List<HealthReport> claims, long now) {
        double sum = 1;
        for (HealthReport c : claims) {
            sum += c.state() == HealthReport.State.CLOSED ? 0 : worth(c.reporter(), now);
        }
        return sum;
    }

    /** One that is not on the roster any more. */
    public void remove(String reporter) {
        worth.remove(reporter);
    }
}
