package elderseam.testkit.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Draws rounds of random faults: one seed and number give one round, whatever came before it. */
final class Nemesis {
    /** Whom a fault is drawn for; the holder twice, since its faults are what leases are about. */
    private static final String[] ROLES = {"holder", "holder", "leader", "other"};

    private static final long SEED_FACTOR = 1_000_003;
    private static final int MAX_FAULTS = 3;
    private static final int MIN_DELAY_MS = 5;
    private static final int DELAY_SPAN_MS = 60;

    private Nemesis() {}

    /**
     * Draws the faults of a round.
     *
     * @param round the round's number
     * @param ttlMs how long a lease lasts; the faults spread over this time
     * @return one to three faults, in the order of their times
     */
    static List<FaultInjection> round(long seed, int round, long ttlMs) {
        SplittableRandom random = new SplittableRandom(seed * SEED_FACTOR + round);
        List<FaultInjection> faults = new ArrayList<>();
        int count = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < count; i++) {
            long atMs = random.nextLong(ttlMs);
            faults.add(FaultInjection.parse(atMs, draw(random, ttlMs)));
        }
        faults.sort(Comparator.comparingLong(FaultInjection::atMs));
        return faults;
    }

    /** One fault in the words of {@link FaultInjection#parse}; the order of the draws is part of what a seed stands for. */
    private static String draw(SplittableRandom random, long ttlMs) {
        String role = ROLES[random.nextInt(ROLES.length)];
        return switch (random.nextInt(12)) {
            case 0, 1 -> "isolate " + role;
            case 2 -> "partition holder leader";
            case 3 -> "partition " + role;
            case 4 -> "mute " + role;
            case 5 -> "deafen " + role;
            case 6 -> "delay " + (MIN_DELAY_MS + random.nextInt(DELAY_SPAN_MS));
            case 7 -> "reset";
            case 8, 9 -> "stall " + role + " " + (ttlMs / 4 + random.nextLong(2 * ttlMs));
            case 10 -> "crash " + role;
            default -> random.nextInt(4) == 0 ? "crash all" : "crash " + role;
        };
    }
}
