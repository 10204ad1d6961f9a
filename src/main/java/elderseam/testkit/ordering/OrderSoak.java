package elderseam.testkit.ordering;

import elderseam.testkit.ordering.OrderTrial.Action;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * Plays one run for each seed of a range, with load, surroundings and a series of signals drawn from the seed, and prints
 * what broke. Exits with 1 where anything did.
 */
public final class OrderSoak {
    /** What a series is drawn from: all actions but those that {@link UpgradeSoak} and {@link CrowdSoak} play. */
    private static final List<Action> ACTIONS = Stream.of(Action.values())
            .filter(action -> action.ordinal() < Action.HAND_OVER_AND_MOVE.ordinal())
            .toList();

    private static final int MIN_ACTIONS = 3;
    private static final int MAX_ACTIONS = 8;
    private static final int UNLIMITED = 100_000;
    private static final int MAX_UNORDERED_CLIENTS = 12;
    private static final int MAX_COPY_DELAY_MS = 2_000;
    private static final int MIN_WAIT_MS = 300;
    private static final int MAX_WAIT_MS = 4_000;
    private static final double MAX_REJECTED_RATIO = 0.1;

    private OrderSoak() {}

    /** {@code FIRST-SEED LAST-SEED [FOLDER]}; a temporary folder unless told. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        new Soak(OrderSoak::play, OrderSoak::actions).run(arguments);
    }

    /** Plays the run of one seed. */
    public static OrderTrial.Result play(Path folder, long seed) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        int keys = random.nextInt(3, 13);
        int maxPauseMs = random.nextInt(20, 800);
        int minRemainingMs = random.nextInt(300, 3_000);
        int endpoints = random.nextInt(1, 4);
        int minDelayMs = random.nextInt(1, 40);
        int maxDelayMs = random.nextInt(40, 250);
        double badAnswerRatio = random.nextInt(3) == 0 ? 0 : random.nextDouble() / 3;
        int notificationDelayMs = random.nextInt(1, 300);
        double refusedNotificationRatio = random.nextInt(2) == 0 ? 0 : random.nextDouble() / 2;
        CopyFault copies = copyFault(random);
        int unorderedClients = random.nextInt(MAX_UNORDERED_CLIENTS + 1);
        RejectionFault rejections = rejectionFault(random);
        int destinations = rejections.equals(RejectionFault.NONE) ? 1 : random.nextInt(1, 5);
        TrialSurroundings surroundings = new TrialSurroundings(
                endpoints * destinations,
                minDelayMs,
                maxDelayMs,
                badAnswerRatio,
                notificationDelayMs,
                refusedNotificationRatio,
                copies,
                destinations,
                rejections);
        TrialLoad load =
                new TrialLoad(keys, unorderedClients, UNLIMITED, maxPauseMs, minRemainingMs, minRemainingMs + 3_000);
        return OrderTrial.play(folder, seed, load, surroundings, actions(seed));
    }

    /** Copied answers in two of three runs, from those that come at once to those that come seconds later. */
    private static CopyFault copyFault(SplittableRandom random) {
        if (random.nextInt(3) == 0) {
            return CopyFault.NONE;
        }
        int minDelayMs = random.nextInt(MAX_COPY_DELAY_MS);
        int maxDelayMs = random.nextInt(minDelayMs, MAX_COPY_DELAY_MS + 1);
        return new CopyFault(random.nextDouble() / 2, minDelayMs, maxDelayMs, random.nextDouble() / 2);
    }

    /** Rejections with a wait in two of three runs, spoilt in all ways. */
    private static RejectionFault rejectionFault(SplittableRandom random) {
        if (random.nextInt(3) == 0) {
            return RejectionFault.NONE;
        }
        int minWaitMs = random.nextInt(MIN_WAIT_MS, MAX_WAIT_MS);
        int maxWaitMs = random.nextInt(minWaitMs, MAX_WAIT_MS + 1);
        List<AnswerFault> faults = List.of(AnswerFault.values());
        return new RejectionFault(random.nextDouble() * MAX_REJECTED_RATIO, minWaitMs, maxWaitMs, faults);
    }

    /** The signals of a seed, in series. */
    static List<Action> actions(long seed) {
        SplittableRandom random = new SplittableRandom(~seed);
        List<Action> actions = new ArrayList<>();
        int count = random.nextInt(MIN_ACTIONS, MAX_ACTIONS + 1);
        for (int i = 0; i < count; i++) {
            actions.add(ACTIONS.get(random.nextInt(ACTIONS.size())));
        }
        return actions;
    }
}
