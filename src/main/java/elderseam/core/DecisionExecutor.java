package elderseam.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

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

    /** Executes decisions in their order; attempts that share a call begin together. */
    void executeAll(List<PolicyDecision> decisions) {
        Map<String, List<PolicyDecision.BeginAttempt>> calls = new LinkedHashMap<>(); // the last of each endpoint
        for (PolicyDecision decision : decisions) {
            if (decision instanceof PolicyDecision.BeginAttempt begin) {
                if (!begin.sharesCall()) {
                    beginCall(calls.remove(begin.endpoint()));
                }
                calls.computeIfAbsent(begin.endpoint(), endpoint -> new ArrayList<>(1))
                        .add(begin);
                continue;
            }
            if (decision instanceof PolicyDecision.CloseIdleConnections close) {
                beginCall(calls.remove(close.endpoint())); // may still use one of them
            }
            execute(decision);
        }
        calls.values().forEach(this::beginCall);
    }

    private void beginCall(List<PolicyDecision.BeginAttempt> call) {
        if (call != null) {
            attempts.begin(call);
        }
    }

    /** Executes one decision; a request that is no longer in flight is passed over. */
    void execute(PolicyDecision decision) {
        if (decision instanceof PolicyDecision.BeginAttempt begin) {
            beginCall(List.of(begin));
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
