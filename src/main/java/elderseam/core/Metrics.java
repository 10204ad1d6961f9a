package elderseam.core;

import elderseam.policy.EndpointCounts;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The counters that are reported to operators. They start at 0 with the process. Confined to the event-loop thread. */
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
    private long unexpectedInputs;
    private long discardedResponses;
    private long retryAfters;
    private long presumedRetryAfters;
    private long refutedDeliveries;

    /** Creates the counters of {@code classes} message classes. */
    Metrics(int classes) {
        byClass = new ClassCounters[classes];
        for (int i = 0; i < classes; i++) {
            byClass[i] = new ClassCounters();
        }
    }

    /** Counts a final outcome. A withdrawn request is not counted here, but in the process that completes it. */
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

    /** Counts an attempt whose request was written completely. */
    void attemptWritten(int classIndex) {
        byClass[classIndex].attempts++;
        attempts++;
    }

    /** Counts an attempt that could not be started because of a local failure. */
    void attemptFailedLocally() {
        localFailures++;
    }

    /** Counts bytes from an endpoint or the platform that answer no request. */
    void unexpectedInputReceived() {
        unexpectedInputs++;
    }

    /** Counts a response from an endpoint or the platform that was read and not believed. */
    void responseDiscarded() {
        discardedResponses++;
    }

    /** Counts a wait that an endpoint asked for, or is presumed to have asked for. */
    void retryAfterReceived(boolean presumed) {
        retryAfters++;
        presumedRetryAfters += presumed ? 1 : 0;
    }

    /** Counts a request whose delivery was refuted by a further response; its delivery stays counted. */
    void deliveryRefuted() {
        refutedDeliveries++;
    }

    /**
     * Appends one line per counter. A reason has a line only after a request was rejected or failed for that reason.
     *
     * @param classNames the names of the message classes, in the order of the settings
     * @param lines the list to which the lines are appended
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
        if (unexpectedInputs > 0) {
            lines.add(PREFIX + "unexpected_inputs=" + unexpectedInputs);
        }
        if (discardedResponses > 0) {
            lines.add(PREFIX + "discarded_responses=" + discardedResponses);
        }
        if (retryAfters > 0) {
            lines.add(PREFIX + "retry_afters=" + retryAfters);
        }
        if (presumedRetryAfters > 0) {
            lines.add(PREFIX + "retry_afters_presumed=" + presumedRetryAfters);
        }
        if (refutedDeliveries > 0) {
            lines.add(PREFIX + "refuted_deliveries=" + refutedDeliveries);
        }
        undelivered.forEach((reason, count) -> lines.add(PREFIX + "undelivered." + reason.label() + "=" + count));
    }

    /** Appends the numbers of endpoints, one {@code NAME=NUMBER} line for each. */
    static void appendEndpoints(EndpointCounts endpoints, List<String> lines) {
        lines.add("edge_relay.hosts_listed=" + endpoints.listed());
        lines.add("edge_relay.hosts_down=" + endpoints.unavailable());
    }
}
