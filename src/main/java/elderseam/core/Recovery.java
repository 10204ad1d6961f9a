package elderseam.core;

import elderseam.policy.RequestClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What an earlier process left unfinished, in the order and the portions in which the module is to have it; without
 * I/O. First the streams whose end is known whatever happens (their time is up, or they may have run and may not be
 * repeated): their answers are told before this process calls itself ready. Then the others, those whose time ends
 * soonest first. A portion's size follows how long the last one kept the thread, so that no portion does for long and
 * no more calls begin at once than can be read between two of them. Whatever the order, the module decides on each.
 *
 * <p>A destination gets its streams without a probe before: to feed two calls to each first, and the others after an
 * answer, was built and measured, and cost 0.03 of a day on which destinations failed half of their calls.
 */
final class Recovery {
    /** Ready no later than this after recovery began, whatever is still to be told. */
    static final long LATEST_NS = 1_000 * Clock.MS;

    private static final long PORTION_NS = 15 * Clock.MS; // what a portion should take
    private static final int LEAST = 8, FIRST = 32, MOST = 256;

    /** What the process is to do next. */
    enum Stage {
        ENDS,
        OTHERS,
        DONE
    }

    private final long start;
    private final ArrayDeque<ActiveRequest> ends = new ArrayDeque<>(), others = new ArrayDeque<>();
    private final int most;
    private int portion = FIRST;

    /** {@code mostOut}: calls that may be out at once; a portion of those that will be called is no larger. */
    Recovery(List<ActiveRequest> left, List<RequestClass> classes, int mostOut, long now) {
        start = now;
        most = Math.max(LEAST, mostOut);
        List<ActiveRequest> sorted = new ArrayList<>(left);
        sorted.sort(Comparator.comparingLong((ActiveRequest s) -> s.message.deadline())
                .thenComparing(ActiveRequest::id));
        for (ActiveRequest s : sorted) {
            (endKnown(s, classes, now) ? ends : others).add(s);
        }
    }

    /** Whether no upstream host can be called for it any more. */
    static boolean endKnown(ActiveRequest s, List<RequestClass> classes, long now) {
        return s.message.deadline() <= now
                || s.mayHaveRun
                        && switch (classes.get(s.message.cls()).idempotency()) {
                            case SAFE -> false;
                            case KEYED -> s.keyUntil <= now;
                            case UNSAFE -> true;
                        };
    }

    Stage stage() {
        return !ends.isEmpty() ? Stage.ENDS : !others.isEmpty() ? Stage.OTHERS : Stage.DONE;
    }

    /** The next portion, of one stage alone; empty once done. */
    List<ActiveRequest> next() {
        boolean first = stage() == Stage.ENDS;
        ArrayDeque<ActiveRequest> from = first ? ends : others;
        List<ActiveRequest> next = new ArrayList<>();
        for (int left = first ? portion : Math.min(portion, most); left > 0 && !from.isEmpty(); left--) {
            next.add(from.poll());
        }
        return next;
    }

    /** The last portion kept the thread for so long. */
    void took(long ns) {
        portion = ns > 2 * PORTION_NS
                ? Math.max(LEAST, portion / 2)
                : ns < PORTION_NS ? Math.min(MOST, portion * 2) : portion;
    }

    /** Whether the process may call itself ready; {@code owed}: answers that are yet to be told. */
    boolean ready(long now, int owed) {
        return stage() != Stage.ENDS && owed == 0 || now - start >= LATEST_NS;
    }

    /** When it is ready at the latest. */
    long latest() {
        return start + LATEST_NS;
    }
}
