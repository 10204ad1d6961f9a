package elderseam.policy;

import java.util.Collection;

/** Read-only views of the state for operators and other senders. */
final class DestinationHealth {
    private DestinationHealth() {}

    /** Combines the breakers of a destination: open if all of them are open, closed if at least one is closed. */
    static BreakerView breakerView(DestinationState destination, long now) {
        int calls = 0;
        int failures = 0;
        int closed = 0;
        int sleeping = 0;
        long waitNs = 0;
        for (EndpointGroup group : destination.groups) {
            calls += group.window.callsAt(now);
            failures += group.window.failuresAt(now);
            waitNs = Math.max(waitNs, group.rate.retryAfterUntil - now);
            closed += group.breaker.isClosed() ? 1 : 0;
            sleeping += group.breaker.isSleeping(now) ? 1 : 0;
        }
        BreakerState state = BreakerState.HALF_OPEN;
        if (closed > 0 || destination.groups.isEmpty()) {
            state = BreakerState.CLOSED;
        } else if (sleeping == destination.groups.size()) {
            state = BreakerState.OPEN;
        }
        return new BreakerView(state, calls, failures, waitNs);
    }

    /** Counts the listed endpoints and those among them that get no calls at present. */
    static EndpointCounts countEndpoints(Collection<EndpointState> endpoints, long now) {
        int listed = 0;
        int unavailable = 0;
        for (EndpointState endpoint : endpoints) {
            if (!endpoint.removed) {
                listed++;
                unavailable += isUnavailable(endpoint, now) ? 1 : 0;
            }
        }
        return new EndpointCounts(listed, unavailable);
    }

    private static boolean isUnavailable(EndpointState endpoint, long now) {
        EndpointGroup group = endpoint.group;
        return !endpoint.ready || now < group.rate.retryAfterUntil || group.breaker.isSleeping(now);
    }
}
