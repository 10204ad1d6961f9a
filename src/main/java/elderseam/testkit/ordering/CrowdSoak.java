package elderseam.testkit.ordering;

import elderseam.testkit.ordering.OrderTrial.Action;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Clients that leave before their messages are read, crowds that stall within requests, and large bodies, between kills,
 * upgrades and other signals. One run for each seed of a range.
 */
public final class CrowdSoak {
    private static final int MIN_ACTIONS = 3;
    private static final int MAX_ACTIONS = 7;
    private static final int UNLIMITED = 100_000;
    private static final int MAX_BODY_BYTES = 48 << 10;

    private static final List<Action> ACTIONS = List.of(
            Action.LEAVE_UNREAD,
            Action.LEAVE_UNREAD,
            Action.STALL_WITHIN_REQUESTS,
            Action.STALL_WITHIN_REQUESTS,
            Action.KILL,
            Action.TERMINATE,
            Action.HAND_OVER,
            Action.PAUSE,
            Action.CROWD);

    private CrowdSoak() {}

    /** {@code FIRST-SEED LAST-SEED [FOLDER]}; a temporary folder unless told. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        new Soak(CrowdSoak::play, CrowdSoak::actions).run(arguments);
    }

    /** Plays the run of one seed. */
    public static OrderTrial.Result play(Path folder, long seed) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        int keys = random.nextInt(1, 6);
        int unorderedClients = random.nextInt(2, 13);
        int minRemainingMs = random.nextInt(1_000, 3_000);
        double badAnswerRatio = random.nextDouble() / 4;
        TrialLoad load = new TrialLoad(
                keys, unorderedClients, UNLIMITED, 200, minRemainingMs, minRemainingMs + 3_000, 0, MAX_BODY_BYTES);
        TrialSurroundings surroundings =
                new TrialSurroundings(2, 5, 200, badAnswerRatio, 50, 0, CopyFault.NONE, 1, RejectionFault.NONE);
        return OrderTrial.play(folder, seed, load, surroundings, actions(seed));
    }

    /** The actions of a seed, in series; the first two are those that only this soak has. */
    public static List<Action> actions(long seed) {
        SplittableRandom random = new SplittableRandom(~seed);
        List<Action> actions = new ArrayList<>(List.of(Action.LEAVE_UNREAD, Action.STALL_WITHIN_REQUESTS));
        int count = random.nextInt(MIN_ACTIONS, MAX_ACTIONS + 1);
        while (actions.size() < count) {
            actions.add(ACTIONS.get(random.nextInt(ACTIONS.size())));
        }
        return actions;
    }
}
