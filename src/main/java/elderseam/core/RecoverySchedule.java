package elderseam.core;

import elderseam.policy.RequestClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order and the portions in which the policy gets what an earlier process left unfinished; does no I/O.
 *
 * <p>First come the requests whose outcome is certain (their deadline has passed, or they may have run and must not
 * be repeated): their clients are notified before this process reports itself ready. Then the others, by deadline.
 * The size of a portion follows how long the last one occupied the thread, so that no portion does for long and no
 * more attempts begin at once than can be read between two portions. Whatever the order, the policy decides on each
 * request.
 *
 * <p>A destination gets its requests without a probe before them: to submit two to each first, and the others after a
 * response, was built and measured, and cost 0.03 of a day on which destinations failed half of their attempts.
 */
final class RecoverySchedule {
    /**
     * The process reports itself ready no later than this after recovery began, whatever notifications are unsent.
     */
    static final long MAX_UNREADY_NS = 1_000 * Clock.MILLISECOND_NS;

    /** What a portion should take. */
    private static final long TARGET_PORTION_NS = 15 * Clock.MILLISECOND_NS;

    private static final int MIN_PORTION = 8;
    private static final int INITIAL_PORTION = 32;
    private static final int MAX_PORTION = 256;

    /** What the next portion consists of. */
    enum Stage {
        CERTAIN_OUTCOMES,
        OTHERS,
        DONE
    }

    private final long start;
    private final ArrayDeque<ActiveRequest> certain = new ArrayDeque<>();
    private final ArrayDeque<ActiveRequest> others = new ArrayDeque<>();
    private final int maxOthers;
    private int portion = INITIAL_PORTION;

    /**
     * @param maxAttempts attempts that may be in flight at once: a portion of requests that will be sent is no larger
     * @param now start of the recovery, on {@link Clock#now}
     */
    RecoverySchedule(List<ActiveRequest> unfinished, List<RequestClass> classes, int maxAttempts, long now) {
        start = now;
        maxOthers = Math.max(MIN_PORTION, maxAttempts);
        List<ActiveRequest> sorted = new ArrayList<>(unfinished);
        sorted.sort(Comparator.comparingLong((ActiveRequest request) -> request.message.deadline())
                .thenComparing(ActiveRequest::id));
        for (ActiveRequest request : sorted) {
            (hasCertainOutcome(request, classes, now) ? certain : others).add(request);
        }
    }

    /** Whether no further attempt can be made for it. */
    static boolean hasCertainOutcome(ActiveRequest request, List<RequestClass> classes, long now) {
        if (request.message.deadline() <= now) {
            return true;
        }
        if (!request.mayHaveRun) {
            return false;
        }
        return switch (classes.get(request.message.classIndex()).idempotency()) {
            case SAFE -> false;
            case KEYED -> request.deduplicatedUntil <= now;
            case UNSAFE -> true;
        };
    }

    /** The stage of the next portion. */
    Stage stage() {
        if (!certain.isEmpty()) {
            return Stage.CERTAIN_OUTCOMES;
        }
        return others.isEmpty() ? Stage.DONE : Stage.OTHERS;
    }

    /** The next portion, all of one stage; empty once done. */
    List<ActiveRequest> nextPortion() {
        boolean certainFirst = stage() == Stage.CERTAIN_OUTCOMES;
        ArrayDeque<ActiveRequest> source = certainFirst ? certain : others;
        int size = certainFirst ? portion : Math.min(portion, maxOthers);
        List<ActiveRequest> next = new ArrayList<>();
        while (next.size() < size && !source.isEmpty()) {
            next.add(source.poll());
        }
        return next;
    }

    /** The last portion occupied the thread for so long, in nanoseconds. */
    void portionTook(long elapsedNs) {
        if (elapsedNs > 2 * TARGET_PORTION_NS) {
            portion = Math.max(MIN_PORTION, portion / 2);
        } else if (elapsedNs < TARGET_PORTION_NS) {
            portion = Math.min(MAX_PORTION, portion * 2);
        }
    }

    /** Whether the process may report itself ready; {@code unsent}: notifications that are yet to be sent. */
    boolean isReady(long now, int unsent) {
        boolean nothingIsDue = stage() != Stage.CERTAIN_OUTCOMES && unsent == 0;
        return nothingIsDue || now >= readyAtTheLatest();
    }

    /** When the process reports itself ready at the latest, on {@link Clock#now}. */
    long readyAtTheLatest() {
        return start + MAX_UNREADY_NS;
    }
}
