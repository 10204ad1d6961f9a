package elderseam.core;

import static elderseam.logging.LogField.field;

import elderseam.logging.EventLogger;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Logs the progress of requests: each step of each request at DEBUG level, which is off by default, and at most once in
 * {@link #SUMMARY_INTERVAL_NS} a summary of undelivered requests with their reasons and the id of the latest one.
 * Confined to the event-loop thread.
 */
final class RequestLog {
    /** Minimum interval between two summaries. */
    static final long SUMMARY_INTERVAL_NS = 5_000 * Clock.MILLISECOND_NS;

    private static final EventLogger LOG = EventLogger.of(RequestLog.class);

    private final Clock clock;
    private final Map<OutcomeReason, Integer> undelivered = new EnumMap<>(OutcomeReason.class);
    private String lastUndelivered = "";
    private long nextSummaryAt = Long.MIN_VALUE;

    RequestLog(Clock clock) {
        this.clock = clock;
    }

    /** A message was accepted and recorded in the journal. */
    void accepted(ActiveRequest.Message message) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request.accepted",
                    field("id", message.id()),
                    field("class_index", message.classIndex()),
                    field("destination", message.destination()),
                    field("order_key", message.orderKey()),
                    field("remaining_ms", (message.deadline() - clock.now()) / Clock.MILLISECOND_NS));
        }
    }

    /** An unfinished request of an earlier process was restored. */
    void restored(ActiveRequest request) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request.restored",
                    field("id", request.id()),
                    field("order_key", request.message.orderKey()),
                    field("attempts", request.attempts),
                    field("may_have_run", request.mayHaveRun));
        }
    }

    /** An attempt begins. */
    void attemptBegan(ActiveRequest request, int attempt, String endpoint) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "attempt.started",
                    field("id", request.id()),
                    field("order_key", request.message.orderKey()),
                    field("attempt", attempt),
                    field("endpoint", endpoint));
        }
    }

    /** The last byte of an attempt was written. */
    void attemptWritten(ActiveRequest request, int attempt, String endpoint, AttemptConnection connection) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "attempt.written",
                    field("id", request.id()),
                    field("attempt", attempt),
                    field("endpoint", endpoint),
                    field("connection", connection.number()),
                    field("earlier_exchanges", connection.earlierExchanges()));
        }
    }

    /** An attempt ended. */
    void attemptEnded(ActiveRequest request, int attempt, String endpoint, AttemptOutcome outcome) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "attempt.ended",
                    field("id", request.id()),
                    field("order_key", request.message.orderKey()),
                    field("attempt", attempt),
                    field("endpoint", endpoint),
                    field("status", outcome.status()),
                    field("progress", outcome.progress()),
                    field("retry_after_ms", outcome.retryAfterNs() / Clock.MILLISECOND_NS));
        }
    }

    /** A message has its final outcome. */
    void completed(ActiveRequest.Message message, FinalOutcome outcome, OutcomeReason reason) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request.completed",
                    field("id", message.id()),
                    field("order_key", message.orderKey()),
                    field("outcome", outcome.kind()),
                    field("reason", reason.label()),
                    field("retry_after_ms", outcome.retryAfterNs() / Clock.MILLISECOND_NS));
        }
        if (outcome.needsNotification()) {
            undelivered.merge(reason, 1, Integer::sum);
            lastUndelivered = message.id();
            summarize();
        }
    }

    /** The client of a message has been notified of its outcome. */
    void notified(String id) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("request.notified", field("id", id));
        }
    }

    private void summarize() {
        long now = clock.now();
        if (now < nextSummaryAt) {
            return;
        }
        nextSummaryAt = now + SUMMARY_INTERVAL_NS;
        String reasons = undelivered.entrySet().stream()
                .map(entry -> entry.getKey().label() + ":" + entry.getValue())
                .collect(Collectors.joining(","));
        LOG.info("requests.undelivered", field("reasons", reasons), field("last_id", lastUndelivered));
        undelivered.clear();
    }
}
