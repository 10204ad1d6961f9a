package elderseam.testkit.ordering;

import elderseam.testkit.ordering.OrderTrial.Action;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Upgrades in series, in some of which discovery moves, with kills and signals between them, beside senders of events who
 * give up early and ask again. One run for each seed of a range.
 */
public final class UpgradeSoak {
    private static final int MIN_ACTIONS = 2;
    private static final int MAX_ACTIONS = 5;
    private static final int UNLIMITED = 100_000;

    /** Half of all are upgrades with a move of discovery. */
    private static final List<Action> ACTIONS = List.of(
            Action.HAND_OVER_AND_MOVE,
            Action.HAND_OVER_AND_MOVE,
            Action.HAND_OVER_AND_MOVE,
            Action.HAND_OVER_AND_MOVE,
            Action.HAND_OVER,
            Action.KILL,
            Action.TERMINATE,
            Action.CROWD);

    private UpgradeSoak() {}

    /** {@code FIRST-SEED LAST-SEED [FOLDER]}; a temporary folder unless told. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        new Soak(UpgradeSoak::play, UpgradeSoak::actions).run(arguments);
    }

    /** Plays the run of one seed. */
    public static OrderTrial.Result play(Path folder, long seed) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        int keys = random.nextInt(1, 5);
        int unorderedClients = random.nextInt(1, 5);
        int minRemainingMs = random.nextInt(1_000, 3_000);
        int eventSenders = random.nextInt(1, 41); // more than the front has connections, in some runs
        double badAnswerRatio = random.nextDouble() / 4; // so that there are notices
        TrialLoad load = new TrialLoad(
                keys, unorderedClients, UNLIMITED, 300, minRemainingMs, minRemainingMs + 2_000, eventSenders);
        TrialSurroundings surroundings =
                new TrialSurroundings(2, 5, 200, badAnswerRatio, 50, 0, CopyFault.NONE, 1, RejectionFault.NONE);
        return OrderTrial.play(folder, seed, load, surroundings, actions(seed));
    }

    /** The signals of a seed, in series. */
    public static List<Action> actions(long seed) {
        SplittableRandom random = new SplittableRandom(~seed);
        List<Action> actions = new ArrayList<>(List.of(Action.HAND_OVER_AND_MOVE));
        int count = random.nextInt(MIN_ACTIONS, MAX_ACTIONS + 1);
        while (actions.size() < count) {
            actions.add(ACTIONS.get(random.nextInt(ACTIONS.size())));
        }
        return actions;
    }
}
