package elderseam.core;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The counters that operators read; they begin at 0 with the process. Confined to the event-loop thread. */
final class Metrics {
    private static final String PREFIX = "edge_relay.";

    /** The counters of one message class. */
    private static final class ClassCounters {
        long delivered;
        long rejected;
        long failed;
        long attempts;
    }

    private final ClassCounters[] byClass;
    private final Map<OutcomeReason, Long> undelivered = new EnumMap<>(OutcomeReason.class);
    private long attempts;
    private long localFailures;

    /** {@code classes}: how many message classes there are. */
    Metrics(int classes) {
        byClass = new ClassCounters[classes];
        for (int i = 0; i < classes; i++) {
            byClass[i] = new ClassCounters();
        }
    }

    /** Counts a final outcome. A withdrawn request is counted where it ended. */
    void requestCompleted(int classIndex, FinalOutcome outcome, OutcomeReason reason) {
        if (outcome.needsNotification()) {
            undelivered.merge(reason, 1L, Long::sum);
        }
        ClassCounters counters = byClass[classIndex];
        switch (outcome.kind()) {
            case DELIVERED -> counters.delivered++;
            case REJECTED -> counters.rejected++;
            case FAILED -> counters.failed++;
            case WITHDRAWN -> {}
        }
    }

    /** Counts an attempt whose last byte was written. */
    void attemptWritten(int classIndex) {
        byClass[classIndex].attempts++;
        attempts++;
    }

    /** Counts an attempt that this machine could not begin. */
    void attemptFailedLocally() {
        localFailures++;
    }

    /**
     * Appends a line for each counter; {@code classNames} in the order of the settings. A reason has a line once a
     * request was rejected or failed for it.
     */
    void appendLines(List<String> classNames, List<String> lines) {
        for (int i = 0; i < byClass.length; i++) {
            ClassCounters counters = byClass[i];
            String prefix = PREFIX + "calls." + classNames.get(i) + ".";
            lines.add(prefix + "success=" + counters.delivered);
            lines.add(prefix + "busy=" + counters.rejected);
            lines.add(prefix + "failure=" + counters.failed);
            lines.add(prefix + "backend_calls=" + counters.attempts);
        }
        lines.add(PREFIX + "backend_calls=" + attempts);
        if (localFailures > 0) {
            lines.add(PREFIX + "local_failures=" + localFailures);
        }
        undelivered.forEach((reason, count) -> lines.add(PREFIX + "undelivered." + reason.label() + "=" + count));
    }
}
