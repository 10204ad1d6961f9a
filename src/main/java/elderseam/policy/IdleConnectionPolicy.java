package elderseam.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/**
 * Decides how long idle connections are kept, for each kind of destination: as the settings say, but shorter for a
 * while after one did harm. Confined to the policy's thread.
 */
final class IdleConnectionPolicy {
    /** How long connections are kept shorter after one did harm. */
    private static final long RESTRICTION_NS = 30_000_000_000L;

    private final PolicyContext context;
    private final Collection<EndpointState> endpoints;
    private final long[] restrictedNs; // by kind: how long idle connections are kept while restricted
    private final long[] restrictedUntil; // by kind: until when the restriction holds
    private final List<EndpointState> used = new ArrayList<>(); // endpoints where a call ended in this turn

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

    /** Keeps idle connections of a kind no longer than {@code idleNs} for a while. Costs new connections. */
    private void restrict(int kind, long idleNs) {
        restrictedNs[kind] = Math.min(maxIdleNs(kind), idleNs);
        restrictedUntil[kind] = Math.max(restrictedUntil[kind], context.now + RESTRICTION_NS);
    }

    /** A connection failed to open where idle ones of many senders may take the destination's room: keeps none. */
    void onOpenFailed(int kind) {
        if (maxIdleNs(kind) > 0) {
            for (EndpointState endpoint : endpoints) {
                boolean idle = context.now - endpoint.lastUsedAt
                        < context.settings.connections().idleNs();
                if (endpoint.destination.kindIndex == kind && idle && !used.contains(endpoint)) {
                    used.add(endpoint);
                }
            }
        }
        restrict(kind, 0);
    }

    /** A connection of the kind died after it had idled for so long: they are kept half as long from now on. */
    void onDiedIdle(int kind, long idleNs) {
        restrict(kind, idleNs / 2);
    }

    /** Closes a connection that has idled for too long, before the call begins; else notes how long it has. */
    void beforeCall(AttemptRecord call) {
        EndpointState endpoint = call.endpoint;
        long idleNs = call.start - endpoint.lastUsedAt;
        if (endpoint.inFlight > 0
                || idleNs <= 0
                || idleNs >= context.settings.connections().idleNs()) {
            return;
        }
        // a trial is to tell of the destination, not of a connection
        if (idleNs > maxIdleNs(endpoint.destination.kindIndex) || call.group.breaker.isHalfOpen()) {
            close(endpoint);
        } else {
            call.idleNs = idleNs;
        }
    }

    void onCallEnded(EndpointState endpoint) {
        endpoint.lastUsedAt = context.now;
        used.add(endpoint);
    }

    /** At the end of a turn: closes connections that are not to be kept at all. */
    void closeUnwanted() {
        for (EndpointState endpoint : used) {
            if (maxIdleNs(endpoint.destination.kindIndex) == 0) {
                close(endpoint);
            }
        }
        used.clear();
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
