package elderseam.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Writes the learned state of a policy to a snapshot, or reads it from one. The order of the values is a format on disk
 * and between processes, and must not change.
 */
final class PolicySnapshot {
    private PolicySnapshot() {}

    /** Writes or reads the endpoints with the state of each endpoint and its group. */
    static void transfer(SnapshotCursor snapshot, EndpointDirectory directory) {
        List<EndpointState> known = new ArrayList<>(directory.endpoints.values());
        long count = snapshot.integer(known.size());
        Set<EndpointGroup> transferred = new HashSet<>();
        for (int i = 0; i < count; i++) {
            EndpointState endpoint = endpoint(snapshot, directory, i < known.size() ? known.get(i) : null);
            transfer(snapshot, endpoint);
            if (transferred.add(endpoint.group)) {
                transfer(snapshot, endpoint.group);
            }
        }
    }

    /** Writes the identity of a known endpoint; if that is null, reads an identity and adds the endpoint. */
    private static EndpointState endpoint(SnapshotCursor snapshot, EndpointDirectory directory, EndpointState known) {
        String address = snapshot.text(known == null ? "" : known.address);
        long destination = snapshot.integer(known == null ? 0 : known.destination.id);
        long kind = snapshot.integer(known == null ? 0 : known.destination.kindIndex);
        long zone = snapshot.integer(known == null ? 0 : known.zone);
        if (known != null) {
            return known;
        }
        return directory.add(new ListedEndpoint(address, destination, (int) kind, (int) zone, EndpointStatus.READY, 0));
    }

    private static void transfer(SnapshotCursor snapshot, EndpointState endpoint) {
        endpoint.ready = snapshot.flag(endpoint.ready);
        endpoint.removed = snapshot.flag(endpoint.removed);
        endpoint.listedBefore = true;
        endpoint.bias = snapshot.real(endpoint.bias);
        endpoint.lastUsedAt = snapshot.time(endpoint.lastUsedAt);
        endpoint.coldSince = snapshot.time(endpoint.coldSince);
        endpoint.nextColdCallAt = snapshot.time(endpoint.nextColdCallAt);
        for (int i = 0; i < endpoint.failures.length; i++) {
            endpoint.failures[i] = (int) snapshot.integer(endpoint.failures[i]);
            endpoint.ejectedUntil[i] = snapshot.time(endpoint.ejectedUntil[i]);
        }
    }

    /** Values of the components alternate, since the order of the format is fixed. */
    private static void transfer(SnapshotCursor snapshot, EndpointGroup group) {
        CircuitBreaker breaker = group.breaker;
        RateController rate = group.rate;
        LatencyTracker latency = group.latency;
        breaker.state = BreakerState.ofSnapshotCode(snapshot.integer(breaker.state.snapshotCode()));
        breaker.openedByHang = snapshot.flag(breaker.openedByHang);
        long openUntil = snapshot.time(breaker.openUntil);
        long retryAfterUntil = snapshot.time(rate.retryAfterUntil);
        // a breaker that is open only because of a Retry-After stays open until that ends
        breaker.openUntil = openUntil > retryAfterUntil ? openUntil : snapshot.waitEnd(openUntil);
        rate.retryAfterUntil = snapshot.waitEnd(retryAfterUntil);
        latency.lastSuccessAt = snapshot.time(latency.lastSuccessAt);
        latency.latestDeliveredStart = snapshot.time(latency.latestDeliveredStart);
        breaker.consecutiveFailuresSince = snapshot.time(breaker.consecutiveFailuresSince);
        breaker.outageStart = snapshot.time(breaker.outageStart);
        breaker.consecutiveFailures = (int) snapshot.integer(breaker.consecutiveFailures);
        latency.baselineLatencyNs = snapshot.real(latency.baselineLatencyNs);
        latency.recentLatencyNs = snapshot.real(latency.recentLatencyNs);
        group.estimate.advertisedRate = snapshot.real(group.estimate.advertisedRate);
        group.estimate.typicalRate = snapshot.real(group.estimate.typicalRate);
        rate.advertisedRateAtCut = snapshot.real(rate.advertisedRateAtCut);
        rate.pacingRate = snapshot.real(rate.pacingRate);
        rate.tokens = snapshot.real(rate.tokens);
        breaker.failureRateEwma = snapshot.real(breaker.failureRateEwma);
        rate.refilledAt = snapshot.time(rate.refilledAt);
        rate.backoffUntil = snapshot.waitEnd(snapshot.time(rate.backoffUntil));
        rate.backoffNs = snapshot.integer(rate.backoffNs);
        rate.lastCutAt = snapshot.time(rate.lastCutAt);
        rate.lastFullAt = snapshot.time(rate.lastFullAt);
        rate.lastFailureAt = snapshot.time(rate.lastFailureAt);
        rate.warmUpStart = snapshot.time(rate.warmUpStart);
        rate.warmingUp = snapshot.flag(rate.warmingUp);
        rate.limitReported = snapshot.flag(rate.limitReported);
        rate.ampleHeadroom = snapshot.flag(rate.ampleHeadroom);
        group.window.transfer(snapshot);
    }
}
