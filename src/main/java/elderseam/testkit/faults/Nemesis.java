package elderseam.testkit.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Random rounds of faults from a seed: one seed and number give one round, whatever befell before it. */
final class Nemesis {
    private static final String[] WHO = {"holder", "holder", "leader", "other"
    }; // the holder's troubles are the ones leases are about

    private Nemesis() {}

    /** Round {@code n} of {@code seed}: one to three faults, spread over {@code ttlMs}, in the order of their times. */
    static List<FaultInjection> round(long seed, int n, long ttlMs) {
        SplittableRandom random = new SplittableRandom(seed * 1_000_003 + n);
        List<FaultInjection> faults = new ArrayList<>();
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            faults.add(FaultInjection.parse(random.nextLong(ttlMs), one(random, ttlMs)));
        }
        faults.sort(Comparator.comparingLong(FaultInjection::atMs));
        return faults;
    }

    private static String one(SplittableRandom random, long ttlMs) {
        String who = WHO[random.nextInt(WHO.length)];
        return switch (random.nextInt(12)) {
            case 0, 1 -> "isolate " + who;
            case 2 -> "partition holder leader";
            case 3 -> "partition " + who;
            case 4 -> "mute " + who;
            case 5 -> "deafen " + who;
            case 6 -> "delay " + (5 + random.nextInt(60));
            case 7 -> "reset";
            case 8, 9 -> "stall " + who + " " + (ttlMs / 4 + random.nextLong(2 * ttlMs));
            case 10 -> "crash " + who;
            default -> random.nextInt(4) == 0 ? "crash all" : "crash " + who;
        };
    }
}
