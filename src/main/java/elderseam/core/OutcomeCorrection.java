package elderseam.core;

import static elderseam.logging.LogField.field;

import elderseam.logging.EventLogger;
import elderseam.policy.AnswerTrust;
import elderseam.policy.PolicySettings;
import elderseam.policy.RequestClass;
import java.util.List;

/**
 * Corrects the final outcome of a request that counted as delivered by the answer to another request. It may have run. It
 * is attempted again if its class allows that; otherwise, and if the journal has no capacity or the body of its message
 * was released, it fails. Confined to the event-loop thread.
 */
final class OutcomeCorrection {
    private static final EventLogger LOG = EventLogger.of(OutcomeCorrection.class);

    private final RequestDispatcher dispatcher;
    private final PolicySettings settings;
    private final Journal journal;
    private final Clock clock;
    private final Metrics metrics;

    OutcomeCorrection(
            RequestDispatcher dispatcher, PolicySettings settings, Journal journal, Clock clock, Metrics metrics) {
        this.dispatcher = dispatcher;
        this.settings = settings;
        this.journal = journal;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Which connections may carry an attempt, by whether a wrong answer to it could be corrected. */
    ConnectionReuse connectionReuse(ActiveRequest.Message message) {
        RequestClass requestClass = settings.classes().get(message.classIndex());
        if (!AnswerTrust.isCorrectable(requestClass) || message.hasDeduplicationKey()) {
            return ConnectionReuse.NEW;
        }
        return switch (requestClass.idempotency()) {
            case SAFE -> ConnectionReuse.QUIET;
            case KEYED -> ConnectionReuse.QUIET_AFTER_SUCCESS;
            case UNSAFE -> ConnectionReuse.SETTLED;
        };
    }

    /**
     * The delivery of a completed request is refuted.
     *
     * @param zone the name of the endpoint's zone; empty if unknown
     * @param attemptStart when the attempt that seemed to deliver it began
     */
    void refuted(ActiveRequest request, String endpoint, String zone, long attemptStart) {
        boolean transferred = dispatcher.handover().isTransferred();
        boolean again = !transferred && !request.isBodyReleased() && mayAttemptAgain(request, attemptStart);
        metrics.deliveryRefuted();
        LOG.warn(
                "request.delivery_refuted",
                field("id", request.id()),
                field("endpoint", endpoint),
                field("attempts", request.attempts),
                field("attempted_again", again));
        if (transferred) {
            return; // the journal belongs to the successor
        }
        ActiveRequest corrected = new ActiveRequest(request.message);
        corrected.attempts = request.attempts;
        corrected.mayHaveRun = true;
        corrected.deduplicatedUntil = attemptStart;
        corrected.mayHaveRunZone = zone;
        corrected.acknowledged = request.acknowledged;
        if (again && journal.accepted(request.message) && journal.attemptBegan(request.id(), attemptStart, zone)) {
            journal.attemptEnded(request.id(), true);
            dispatcher.restore(corrected);
            dispatcher.resubmit(List.of(corrected));
        } else {
            dispatcher.complete(corrected, FinalOutcome.FAILED, OutcomeReason.MAY_HAVE_RUN);
            dispatcher.flushNotifications();
        }
    }

    private boolean mayAttemptAgain(ActiveRequest request, long attemptStart) {
        RequestClass requestClass = settings.classes().get(request.message.classIndex());
        boolean firstAttempt = request.attempts == 1; // an earlier one may have started the window of the key
        long keyValidUntil = firstAttempt ? attemptStart + requestClass.keyWindowNs() : Long.MIN_VALUE;
        boolean inTime = clock.now() < request.message.latestOutcome(clock.now());
        return inTime && AnswerTrust.mayAttemptAgain(requestClass, keyValidUntil, clock.now());
    }
}
