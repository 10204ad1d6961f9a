package elderseam.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Handles messages with the same deduplication key, as set by the operator's rules: the first is dispatched, and the
 * others wait for its outcome and share it. Confined to the event-loop thread.
 */
final class DuplicateRequests {
    private final Journal journal;
    private final Clock clock;
    private final EventLoop loop;
    private final Map<Byte, Frontend> frontends;
    private final Metrics metrics;
    private final RequestLog log;
    private final MessageOrder order;
    private final DuplicateIndex index = new DuplicateIndex();

    DuplicateRequests(
            Journal journal,
            Clock clock,
            EventLoop loop,
            Map<Byte, Frontend> frontends,
            Metrics metrics,
            RequestLog log,
            MessageOrder order) {
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
        this.frontends = frontends;
        this.metrics = metrics;
        this.log = log;
        this.order = order;
    }

    /** Registers a request as the first in flight with its key. */
    void addFirst(ActiveRequest first) {
        index.addFirst(first);
    }

    /** The first request in flight with one of these keys; empty if there is none. */
    Optional<ActiveRequest> findFirst(String key, List<String> alternateKeys) {
        return index.findFirst(key, alternateKeys);
    }

    /** The stored outcome of a message with one of these keys; empty if there is none. */
    Optional<FinalOutcome> storedOutcome(String key, List<String> alternateKeys) {
        Optional<FinalOutcome> outcome = journal.outcomeOfKey(key);
        for (int i = 0; outcome.isEmpty() && i < alternateKeys.size(); i++) {
            outcome = journal.outcomeOfKey(alternateKeys.get(i));
        }
        return outcome;
    }

    /** Number of duplicates that wait for the outcome of the first request with their key. */
    int waitingCount() {
        return index.waitingCount();
    }

    /** Whether the message with that id is a duplicate that waits for an outcome. */
    boolean isWaiting(String id) {
        return index.isWaiting(id);
    }

    /** Records a duplicate in the journal and lets it wait for an outcome; false if the journal has no capacity. */
    boolean addDuplicate(ActiveRequest.Message message, ActiveRequest first) {
        ActiveRequest.Message duplicate = message.asDuplicate(first.message.deduplicationKey());
        if (!journal.acceptedDuplicate(duplicate)) {
            return false;
        }
        order.reserve(duplicate);
        await(duplicate, first);
        return true;
    }

    private void await(ActiveRequest.Message duplicate, ActiveRequest first) {
        index.addDuplicate(duplicate, first);
        loop.at(duplicate.latestOutcome(clock.now()), () -> expire(duplicate));
    }

    private void expire(ActiveRequest.Message duplicate) {
        index.expire(duplicate, RequestDispatcher.CAPACITY_RETRY_AFTER_NS).ifPresent(outcome -> {
            complete(duplicate, outcome, OutcomeReason.DUPLICATE_OUT_OF_TIME);
            frontends.get(duplicate.frontend()).flushNotifications();
        });
    }

    /**
     * Restores the duplicates that were waiting when the earlier process ended: if the first request is in flight, they
     * wait for its outcome again; otherwise they get its stored outcome, or are rejected if none is stored, since then
     * the first request was rejected.
     */
    void recover() {
        for (ActiveRequest.Message duplicate : journal.waitingDuplicates()) {
            String key = duplicate.deduplicationKey();
            Optional<ActiveRequest> first = index.findFirst(key, List.of());
            if (first.isPresent()) {
                await(duplicate, first.get());
            } else {
                FinalOutcome rejection = FinalOutcome.rejected(RequestDispatcher.CAPACITY_RETRY_AFTER_NS);
                complete(duplicate, journal.outcomeOfKey(key).orElse(rejection), OutcomeReason.DUPLICATE);
            }
        }
    }

    /** Completes all duplicates of a request with the request's outcome. */
    void complete(ActiveRequest first, FinalOutcome outcome) {
        index.complete(first).forEach(duplicate -> complete(duplicate, outcome, OutcomeReason.DUPLICATE));
    }

    private void complete(ActiveRequest.Message duplicate, FinalOutcome decided, OutcomeReason reason) {
        FinalOutcome outcome = journal.completed(duplicate, decided, true);
        metrics.requestCompleted(duplicate.classIndex(), outcome, reason);
        log.completed(duplicate, outcome, reason);
        order.completed(duplicate, outcome, true);
        frontends.get(duplicate.frontend()).completed(duplicate, outcome);
    }
}
