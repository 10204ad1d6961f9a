package elderseam.testkit.ordering;

import elderseam.testkit.ordering.OrderTrial.Action;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.LongFunction;

/**
 * One run of the order trial for each seed of a range; prints what broke.
 *
 * @param player plays the run of one seed
 * @param actions the signals of a seed, in series
 */
record Soak(Player player, LongFunction<List<Action>> actions) {
    private static final int MAX_PRINTED_VIOLATIONS = 10;

    /** Plays the run of one seed. */
    interface Player {
        /** {@code folder}: an empty one, for state and log. */
        OrderTrial.Result play(Path folder, long seed) throws IOException, InterruptedException;
    }

    /**
     * {@code FIRST-SEED LAST-SEED [FOLDER]}; a temporary folder unless told. Ends the process, with 1 where anything
     * broke.
     */
    void run(String[] arguments) throws IOException, InterruptedException {
        if (arguments.length < 2 || arguments.length > 3) {
            System.err.println("usage: FIRST-SEED LAST-SEED [FOLDER]");
            System.exit(2);
        }
        long first = Long.parseLong(arguments[0]);
        long last = Long.parseLong(arguments[1]);
        Path folder = arguments.length > 2 ? Path.of(arguments[2]) : Files.createTempDirectory("elderseam-order");
        int broken = 0;
        for (long seed = first; seed <= last; seed++) {
            Path own = Files.createDirectories(folder.resolve("seed-" + seed));
            OrderTrial.Result result = player.play(own, seed);
            System.out.println("seed " + seed + " " + actions.apply(seed) + " " + result);
            result.violations().stream()
                    .limit(MAX_PRINTED_VIOLATIONS)
                    .forEach(violation -> System.out.println("  " + violation));
            result.evidence().forEach(line -> System.out.println("    " + line));
            broken += result.violations().isEmpty() ? 0 : 1;
        }
        System.out.println((last - first + 1) + " seeds, " + broken + " with violations");
        System.exit(broken == 0 ? 0 : 1); // threads of the stand-ins run on
    }
}
