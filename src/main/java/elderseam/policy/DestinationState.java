package elderseam.policy;

import java.util.ArrayList;
import java.util.List;

/** A destination with its endpoints and waiting requests. Plain state; confined to the policy's thread. */
final class DestinationState {
    final long id;
    final RetryBudget retryBudget = new RetryBudget();
    /** The kind from the endpoint list; before the destination is listed, the first kind of the settings. */
    DestinationKind kind;
    /** Index of the kind in the settings. */
    int kindIndex;

    final List<EndpointState> endpoints = new ArrayList<>();
    /** One group for each endpoint if the kind has a breaker for each endpoint, else a single group. */
    final List<EndpointGroup> groups = new ArrayList<>();
    /** In the order in which they began to wait. */
    final List<PendingRequest> waiting = new ArrayList<>();
    /** Whether requests wait or calls are in flight, as of the last turn. */
    boolean active;
    /** When the last endpoint left the list, or when the destination was first referenced. */
    long emptySince;

    DestinationState(long id, DestinationKind kind, long now) {
        this.id = id;
        this.kind = kind;
        this.emptySince = now;
    }

    /** Whether at least one endpoint is listed; endpoints retained after removal from the list do not count. */
    boolean hasListedEndpoint() {
        for (EndpointState endpoint : endpoints) {
            if (!endpoint.removed) {
                return true;
            }
        }
        return false;
    }

    /** Calls in flight over all groups. */
    int inFlight() {
        int sum = 0;
        for (EndpointGroup group : groups) {
            sum += group.tickets.inFlight.size();
        }
        return sum;
    }

    /** Mean of the advertised rates of the groups, 1 if there is no group. */
    double meanAdvertisedRate() {
        return groups.stream()
                .mapToDouble(group -> group.estimate.advertisedRate)
                .average()
                .orElse(1);
    }
}
