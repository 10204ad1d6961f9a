package elderseam.policy;

import java.util.ArrayList;
import java.util.List;

/** What the host of a {@link PolicyTestHarness} knows of a request. */
final class SubmittedRequest {
    final PolicyRequest request;
    final RequestClass requestClass;
    final List<PolicyTestHarness.Attempt> inFlight = new ArrayList<>();
    int attempts;
    /** Whether an attempt may have taken effect; then when it began, and in which zone. */
    boolean mayHaveRun;

    long firstUncertainStart;
    int firstUncertainZone;
    /** delivered, refused, failed or withdrawn; null before. */
    String outcome;

    long endedAt;

    SubmittedRequest(PolicyRequest request, RequestClass requestClass) {
        this.request = request;
        this.requestClass = requestClass;
    }

    boolean isOrdered() {
        return requestClass.ordered() && request.orderKey() >= 0;
    }
}
