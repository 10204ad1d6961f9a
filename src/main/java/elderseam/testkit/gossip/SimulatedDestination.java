package elderseam.testkit.gossip;

import elderseam.policy.AttemptResult;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A destination as all dispatchers meet it: so many calls a second, outages, and a cold return, in which it stands a share of
 * its calls at first; who pushes it over the multiple of what it stands, for a second and by more than chance, fells it anew.
 */
final class SimulatedDestination {
    private static final long MS = 1_000_000;
    private static final long S = 1_000 * MS;
    private static final double CHANCE = 8; // calls at once that say nothing: they come at random
    private static final double SPORADIC = 0.01;
    private static final double SICK = 0.2; // calls that fail without an outage
    static final double COLD_SHARE = 0.25;
    static final double FALL_MULTIPLE = 2;
    static final long COLD_NS = 10 * S;
    static final long FALL_NS = 2 * S;
    static final long USUAL_NS = 40 * MS;

    /** How it fails in an outage. */
    enum Fault {
        REFUSES,
        HANGS,
        ERRORS
    }

    /** From when to when, and how. */
    record Outage(long from, long to, Fault fault) {}

    /** What a call gets, and after how long; {@code waitNs}: a told wait. */
    record Reply(AttemptResult result, long afterNs, long waitNs) {}

    final long id;
    final double perS;
    private final List<Outage> outages;
    private final long seed;
    private double load; // calls above what it stands for the multiple, and when that was taken
    private long loadAt;
    private long downUntil;
    private long warmFrom = Long.MIN_VALUE / 2;
    private long shutUntil;
    private long sickFrom;
    private long sickTo;
    private Outage last;
    int felled;
    int calls;
    int callsWhileDown;

    SimulatedDestination(long id, double perS, List<Outage> outages, long seed) {
        this.id = id;
        this.perS = perS;
        this.outages = outages;
        this.seed = seed;
    }

    /** From then to then a fifth of its calls fail. */
    void sick(long from, long to) {
        sickFrom = from;
        sickTo = to;
    }

    private Outage outage(long now) {
        for (Outage o : outages) {
            if (now >= o.from && now < o.to) {
                return o;
            }
        }
        return null;
    }

    /** What it stands now, in calls a second. */
    private double stands(long now) {
        double warm = Math.min(1, (double) (now - warmFrom) / COLD_NS);
        return perS * (COLD_SHARE + (1 - COLD_SHARE) * warm);
    }

    /** One call begins. What chance does to it hangs on the message and the attempt: it is the same with gossip on and off. */
    Reply call(String message, int attempt, long now, long patience) {
        SplittableRandom random = new SplittableRandom(seed ^ 31L * message.hashCode() + attempt);
        calls++;
        Outage o = outage(now);
        if (o != null) {
            last = o;
            callsWhileDown++;
            return switch (o.fault) {
                case REFUSES -> new Reply(AttemptResult.CONNECT_FAILED, MS, 0);
                case HANGS -> new Reply(AttemptResult.TIMEOUT, patience, 0);
                case ERRORS -> new Reply(AttemptResult.ERROR, 10 * MS, 0);
            };
        }
        if (last != null) { // it has come back, cold, at the end of that outage
            warmFrom = last.to;
            last = null;
        }
        if (now < downUntil) {
            return new Reply(AttemptResult.ERROR, 10 * MS, 0);
        }
        double fells = FALL_MULTIPLE * stands(now);
        load = Math.max(0, load - (now - loadAt) / (double) S * fells) + 1;
        loadAt = now;
        if (now - warmFrom < COLD_NS && load > Math.max(CHANCE, fells)) {
            felled++;
            downUntil = now + FALL_NS;
            warmFrom = downUntil;
            load = 0;
            return new Reply(AttemptResult.ERROR, 10 * MS, 0);
        }
        if (random.nextDouble() < (now >= sickFrom && now < sickTo ? SICK : SPORADIC)) {
            return new Reply(AttemptResult.ERROR, 10 * MS, 0);
        }
        if (now < shutUntil || load > Math.max(CHANCE, fells)) {
            shutUntil = Math.max(shutUntil, now + 500 * MS);
            return new Reply(AttemptResult.FULL, 5 * MS, shutUntil - now);
        }
        return new Reply(AttemptResult.DELIVERED, (long) (USUAL_NS * (0.5 + random.nextDouble())), 0);
    }
}
