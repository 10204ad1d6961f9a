package elderseam.core;

import elderseam.policy.PolicySettings;
import java.util.List;
import java.util.Optional;

/**
 * Decides whether a message is accepted, and returns the stored outcome of a message that was completed before.
 * Confined to the event-loop thread.
 */
final class RequestAdmission {
    private final RequestDispatcher dispatcher;
    private final PolicySettings settings;
    private final PolicyFacade policy;
    private final Journal journal;
    private final DuplicateRequests duplicates;
    private final Metrics metrics;
    private final RequestLog log;
    private final Clock clock;

    RequestAdmission(
            RequestDispatcher dispatcher,
            PolicySettings settings,
            PolicyFacade policy,
            Journal journal,
            DuplicateRequests duplicates,
            Metrics metrics,
            RequestLog log,
            Clock clock) {
        this.dispatcher = dispatcher;
        this.settings = settings;
        this.policy = policy;
        this.journal = journal;
        this.duplicates = duplicates;
        this.metrics = metrics;
        this.log = log;
        this.clock = clock;
    }

    /** As {@link RequestDispatcher#submit(ActiveRequest.Message, List)}. */
    Optional<FinalOutcome> submit(ActiveRequest.Message message, List<String> alternateKeys) {
        Optional<FinalOutcome> known = journal.outcome(message.id());
        if (known.isPresent() || isInFlight(message.id())) {
            return known;
        }
        if (dispatcher.handover().isTransferred()) { // too late for the handover; not accepted
            return Optional.of(reject(message, OutcomeReason.HANDED_OVER));
        }
        if (message.hasDeduplicationKey() || !alternateKeys.isEmpty()) {
            Optional<FinalOutcome> shared = duplicates.storedOutcome(message.deduplicationKey(), alternateKeys);
            if (shared.isPresent()) {
                return shared;
            }
            Optional<ActiveRequest> first = duplicates.findFirst(message.deduplicationKey(), alternateKeys);
            if (first.isPresent()) {
                return submitDuplicate(message, first.get());
            }
        }
        if (!policy.serves(clock.now(), message.destination())) {
            return Optional.of(reject(message, OutcomeReason.NO_ENDPOINT));
        }
        if (!hasCapacity() || !dispatcher.requests().hasRoomFor(message)) {
            return Optional.of(reject(message, OutcomeReason.REQUEST_LIMIT));
        }
        if (!journal.accepted(message)) {
            return Optional.of(reject(message, OutcomeReason.JOURNAL_UNAVAILABLE));
        }
        return Optional.ofNullable(dispatcher.accept(message));
    }

    private Optional<FinalOutcome> submitDuplicate(ActiveRequest.Message message, ActiveRequest first) {
        if (!hasCapacity()) {
            return Optional.of(reject(message, OutcomeReason.REQUEST_LIMIT));
        }
        if (!duplicates.addDuplicate(message, first)) {
            return Optional.of(reject(message, OutcomeReason.JOURNAL_UNAVAILABLE));
        }
        log.accepted(message);
        return Optional.empty();
    }

    private FinalOutcome reject(ActiveRequest.Message message, OutcomeReason reason) {
        FinalOutcome outcome = FinalOutcome.rejected(RequestDispatcher.CAPACITY_RETRY_AFTER_NS);
        // requests that this process sends itself at startup, to warm up, are neither counted nor logged
        if (message.destination() != RequestDispatcher.NO_DESTINATION) {
            metrics.requestCompleted(message.classIndex(), outcome, reason);
            log.completed(message, outcome, reason);
        }
        return outcome;
    }

    private boolean hasCapacity() {
        return dispatcher.requestsInFlight() < settings.maxHeld();
    }

    /** Whether the message is in flight or has a stored outcome. */
    boolean isKnown(String id) {
        return isInFlight(id) || journal.outcome(id).isPresent();
    }

    /** Whether a message with one of these deduplication keys is in flight or has a stored outcome. */
    boolean isKnown(String deduplicationKey, List<String> alternateKeys) {
        return duplicates.findFirst(deduplicationKey, alternateKeys).isPresent()
                || duplicates.storedOutcome(deduplicationKey, alternateKeys).isPresent();
    }

    private boolean isInFlight(String id) {
        return dispatcher.request(id) != null || duplicates.isWaiting(id);
    }
}
