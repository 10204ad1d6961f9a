package elderseam.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/**
 * Decides how long idle connections are kept, for each kind of destination: for the time in the settings, or for a
 * shorter time after an idle connection caused a failure. Confined to the policy's thread.
 */
final class IdleConnectionPolicy {
    /** Duration of the shorter idle time after an idle connection caused a failure. */
    private static final long RESTRICTION_NS = 30_000_000_000L;

    private final PolicyContext context;
    private final Collection<EndpointState> endpoints;
    private final long[] restrictedNs; // by kind: maximum idle time while restricted
    private final long[] restrictedUntil; // by kind: end of the restriction
    private final List<EndpointState> usedThisTurn = new ArrayList<>(); // endpoints with idle connections to check

    IdleConnectionPolicy(PolicyContext context, Collection<EndpointState> endpoints) {
        this.context = context;
        this.endpoints = endpoints;
        this.restrictedNs = new long[context.settings.kinds().size()];
        this.restrictedUntil = new long[context.settings.kinds().size()];
        Arrays.fill(restrictedUntil, Long.MIN_VALUE);
    }

    private long maxIdleNs(int kind) {
        return context.now < restrictedUntil[kind]
                ? restrictedNs[kind]
                : context.settings.connections().idleNs();
    }

    /** Limits the idle time of connections of a kind for {@link #RESTRICTION_NS}. The cost is more new connections. */
    private void restrict(int kind, long idleNs) {
        restrictedNs[kind] = Math.min(maxIdleNs(kind), idleNs);
        restrictedUntil[kind] = Math.max(restrictedUntil[kind], context.now + RESTRICTION_NS);
    }

    /**
     * Stops keeping idle connections of a kind, because a connection failed to open: the idle connections of many
     * senders may have exhausted the destination's connection limit.
     */
    void onOpenFailed(int kind) {
        if (maxIdleNs(kind) > 0) {
            for (EndpointState endpoint : endpoints) {
                boolean idle = context.now - endpoint.lastUsedAt
                        < context.settings.connections().idleNs();
                if (endpoint.destination.kindIndex == kind && idle && !usedThisTurn.contains(endpoint)) {
                    usedThisTurn.add(endpoint);
                }
            }
        }
        restrict(kind, 0);
    }

    /** Restricts connections of a kind to half of {@code idleNs}, the idle time after which one was found dead. */
    void onIdleConnectionDied(int kind, long idleNs) {
        restrict(kind, idleNs / 2);
    }

    /** Before a call begins: closes a connection that was idle for too long, else records its idle time in the call. */
    void beforeCall(AttemptRecord call) {
        EndpointState endpoint = call.endpoint;
        long idleNs = call.start - endpoint.lastUsedAt;
        if (endpoint.inFlight > 0
                || idleNs <= 0
                || idleNs >= context.settings.connections().idleNs()) {
            return;
        }
        // a trial call must test the destination, not an old connection
        if (idleNs > maxIdleNs(endpoint.destination.kindIndex) || call.group.breaker.isHalfOpen()) {
            close(endpoint);
        } else {
            call.idleNs = idleNs;
        }
    }

    void onCallEnded(EndpointState endpoint) {
        endpoint.lastUsedAt = context.now;
        usedThisTurn.add(endpoint);
    }

    /** Closes the connections of kinds that keep no idle connections; called at the end of a turn. */
    void closeUnwanted() {
        for (EndpointState endpoint : usedThisTurn) {
            if (maxIdleNs(endpoint.destination.kindIndex) == 0) {
                close(endpoint);
            }
        }
        usedThisTurn.clear();
    }

    private void close(EndpointState endpoint) {
        endpoint.lastUsedAt = EndpointState.NEVER;
        context.actions.disconnect(endpoint.address);
    }

    void transfer(SnapshotCursor snapshot) {
        for (int kind = 0; kind < restrictedNs.length; kind++) {
            restrictedNs[kind] = snapshot.integer(restrictedNs[kind]);
            restrictedUntil[kind] = snapshot.time(restrictedUntil[kind]);
        }
    }
}
