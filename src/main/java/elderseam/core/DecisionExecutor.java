package elderseam.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Executes the policy's decisions about a dispatcher's requests. Confined to the event-loop thread. */
final class DecisionExecutor {
    private final RequestDispatcher dispatcher;
    private final AttemptTracker attempts;
    private Runnable watchRequested = () -> {};

    DecisionExecutor(RequestDispatcher dispatcher, AttemptTracker attempts) {
        this.dispatcher = dispatcher;
        this.attempts = attempts;
    }

    /** Sets the action to run when the policy requests a watch of the endpoint list. */
    void onWatchRequested(Runnable watchRequested) {
        this.watchRequested = watchRequested;
    }

    /** Whether another process has taken over, so that this one must make no decisions. */
    boolean isSuspended() {
        return dispatcher.handover().isTransferred();
    }

    /** Sends the notifications that are due. */
    void flushNotifications() {
        dispatcher.flushNotifications();
    }

    /** Executes decisions in order, except that attempts that share a call are collected and then begin together. */
    void executeAll(List<PolicyDecision> decisions) {
        Map<String, List<PolicyDecision.BeginAttempt>> pendingCalls = new LinkedHashMap<>(); // by endpoint
        for (PolicyDecision decision : decisions) {
            if (decision instanceof PolicyDecision.BeginAttempt begin) {
                if (!begin.sharesCall()) {
                    beginCall(pendingCalls.remove(begin.endpoint()));
                }
                pendingCalls
                        .computeIfAbsent(begin.endpoint(), endpoint -> new ArrayList<>(1))
                        .add(begin);
                continue;
            }
            if (decision instanceof PolicyDecision.CloseIdleConnections close) {
                beginCall(pendingCalls.remove(close.endpoint())); // it may still use an idle connection
            }
            execute(decision);
        }
        pendingCalls.values().forEach(this::beginCall);
    }

    private void beginCall(List<PolicyDecision.BeginAttempt> call) {
        if (call != null) {
            attempts.begin(call);
        }
    }

    /** Executes one decision; ignored if its request is no longer in flight. */
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
