package elderseam.core;

/** Executes the policy's decisions on a dispatcher's requests. Confined to the event-loop thread. */
final class DecisionExecutor {
    private final RequestDispatcher dispatcher;
    private final AttemptTracker attempts;
    private Runnable watchRequested = () -> {};

    DecisionExecutor(RequestDispatcher dispatcher, AttemptTracker attempts) {
        this.dispatcher = dispatcher;
        this.attempts = attempts;
    }

    /** Sets what is run when the policy asks for changes of the endpoint list. */
    void onWatchRequested(Runnable watchRequested) {
        this.watchRequested = watchRequested;
    }

    /** Whether another process decides, so that nothing may be decided here. */
    boolean isSuspended() {
        return dispatcher.handover().isTransferred();
    }

    /** Sends the notifications that are due. */
    void flushNotifications() {
        dispatcher.flushNotifications();
    }

    /** Executes one decision; a request that is no longer in flight is passed over. */
    void execute(PolicyDecision decision) {
        if (decision instanceof PolicyDecision.BeginAttempt begin) {
            ActiveRequest request = dispatcher.request(begin.requestId());
            if (request != null) {
                attempts.begin(request, begin.endpoint(), begin.answerBy());
            }
        } else if (decision instanceof PolicyDecision.CancelAttempt cancel) {
            dispatcher.cancelAttempt(cancel.requestId(), cancel.attempt());
        } else if (decision instanceof PolicyDecision.Complete complete) {
            ActiveRequest request = dispatcher.request(complete.requestId());
            if (request != null) {
                dispatcher.complete(request, complete.outcome(), complete.reason());
            }
        } else if (decision instanceof PolicyDecision.CloseIdleConnections close) {
            attempts.closeIdle(close.endpoint());
        } else if (decision instanceof PolicyDecision.WatchEndpoints) {
            watchRequested.run();
        }
    }
}
