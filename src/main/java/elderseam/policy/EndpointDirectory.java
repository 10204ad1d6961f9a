package elderseam.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The listed endpoints and their destinations. An endpoint that is no longer listed is kept while {@link #isRetained}
 * is true. Confined to the policy's thread.
 */
final class EndpointDirectory {
    /** Maximum number of retained endpoints that are no longer listed and have no call in flight. */
    static final int MAX_ABSENT = 256;

    private final PolicyContext context;
    /** Endpoints by address, in the order in which they were first listed. */
    final Map<String, EndpointState> endpoints = new LinkedHashMap<>();

    final Map<Long, DestinationState> destinations = new HashMap<>();
    /** Destinations without a listed endpoint. */
    final List<DestinationState> empty = new ArrayList<>();
    /** The groups of endpoints whose state was removed, by address, the latest last: responses may still arrive. */
    private final Map<String, EndpointGroup> formerGroups = new LinkedHashMap<>();
    /** Whether an address is in this sender's subset. */
    private Predicate<String> preferred = address -> true;

    EndpointDirectory(PolicyContext context) {
        this.context = context;
    }

    /** Applies an update of the list; if it is {@code complete}, endpoints without an entry are no longer listed. */
    void update(boolean complete, List<ListedEndpoint> entries) {
        if (complete) {
            endpoints.values().forEach(endpoint -> endpoint.removed = true);
        }
        entries.forEach(this::update);
        endpoints.values().forEach(this::recordRemoval);
        removeAbsentEndpoints();
        empty.removeIf(DestinationState::hasListedEndpoint);
        empty.stream().filter(this::isRemovable).forEach(destination -> destinations.remove(destination.id));
        empty.removeIf(destination -> !destinations.containsKey(destination.id));
    }

    private boolean isRemovable(DestinationState destination) {
        return !destination.active && destination.endpoints.isEmpty() && !LoadShedder.mayAccept(destination, context);
    }

    private void update(ListedEndpoint entry) {
        boolean gone = entry.status() == EndpointStatus.GONE;
        EndpointState endpoint = endpoints.get(entry.address());
        if (endpoint != null && endpoint.destination.id != entry.destination()) {
            remove(endpoint); // the address now belongs to an endpoint of another destination
            endpoint = null;
        }
        if (endpoint == null) {
            if (gone) {
                return;
            }
            endpoint = add(entry);
        }
        EndpointSelector.onListed(endpoint, entry.status() == EndpointStatus.READY, context.now);
        endpoint.removed = gone;
        if (context.settings.weightPrecision() != WeightPrecision.UNKNOWN && endpoint.ready) {
            endpoint.group.estimate.advertisedRate = entry.weight();
        }
    }

    private void recordRemoval(EndpointState endpoint) {
        if (!endpoint.removed) {
            endpoint.removedAt = EndpointState.NEVER;
            return;
        }
        endpoint.ready = false;
        if (endpoint.removedAt == EndpointState.NEVER) {
            endpoint.removedAt = context.now;
            recordIfEmpty(endpoint.destination);
        }
    }

    private void recordIfEmpty(DestinationState destination) {
        if (!destination.hasListedEndpoint() && !empty.contains(destination)) {
            destination.emptySince = context.now;
            empty.add(destination);
        }
    }

    private void removeAbsentEndpoints() {
        List<EndpointState> retained = new ArrayList<>();
        for (EndpointState endpoint : List.copyOf(endpoints.values())) {
            if (!endpoint.removed || endpoint.inFlight > 0) {
                continue;
            }
            if (isRetained(endpoint, context.now)) {
                retained.add(endpoint);
            } else {
                remove(endpoint);
            }
        }
        if (retained.size() > MAX_ABSENT) {
            retained.sort(Comparator.comparingLong(endpoint -> endpoint.group.rate.retryAfterUntil));
            retained.subList(0, retained.size() - MAX_ABSENT).forEach(this::remove);
        }
    }

    /**
     * Whether the state of an unlisted endpoint without a call in flight is kept in case it is listed again. It is
     * kept while a Retry-After applies, while the breaker is not closed (for the longest deadline), or while a late
     * answer to an abandoned call may still carry a Retry-After. If listed endpoints of the destination share the
     * group, the group outlives the endpoint.
     */
    private boolean isRetained(EndpointState endpoint, long now) {
        if (now < endpoint.lateAnswersUntil) {
            return true;
        }
        DestinationState destination = endpoint.destination;
        if (!destination.kind.breakerPerEndpoint() && destination.hasListedEndpoint()) {
            return false;
        }
        EndpointGroup group = endpoint.group;
        boolean keptForBreaker = !group.breaker.isClosed() && now - endpoint.removedAt < context.longestDeadlineNs;
        return now < group.rate.retryAfterUntil || keptForBreaker;
    }

    /** Adds an endpoint that is listed for the first time. */
    EndpointState add(ListedEndpoint entry) {
        DestinationState destination = destination(entry.destination());
        destination.kindIndex = Math.min(entry.kind(), context.settings.kinds().size() - 1);
        destination.kind = context.settings.kinds().get(destination.kindIndex);
        EndpointState endpoint = new EndpointState(
                entry.address(),
                entry.zone(),
                destination,
                group(destination, entry.address()),
                context.settings.classes().size());
        endpoint.bias = EndpointSelector.drawPreference(context);
        endpoint.outsideSubset = !preferred.test(endpoint.address);
        destination.endpoints.add(endpoint);
        endpoints.put(endpoint.address, endpoint);
        return endpoint;
    }

    /** The group of an endpoint by its address, also for a while after its state was removed; null if it is unknown. */
    EndpointGroup groupOf(String address) {
        EndpointState endpoint = endpoints.get(address);
        return endpoint == null ? formerGroups.get(address) : endpoint.group;
    }

    private EndpointGroup group(DestinationState destination, String address) {
        boolean separate = destination.kind.breakerPerEndpoint();
        EndpointGroup former = formerGroups.remove(address);
        if (!separate && !destination.groups.isEmpty()) {
            return destination.groups.get(0);
        }
        String name = separate ? destination.id + "/" + address : Long.toString(destination.id);
        boolean waits = former != null && former.name.equals(name) && context.now < former.rate.retryAfterUntil;
        EndpointGroup group = waits ? former : new EndpointGroup(name, destination.kind.batch(), context, context.now);
        destination.groups.add(group);
        return group;
    }

    /** Removes an endpoint with its state; an endpoint listed later at the same address starts with fresh state. */
    private void remove(EndpointState endpoint) {
        DestinationState destination = endpoint.destination;
        endpoints.remove(endpoint.address);
        formerGroups.put(endpoint.address, endpoint.group);
        if (formerGroups.size() > MAX_ABSENT) {
            formerGroups.remove(formerGroups.keySet().iterator().next());
        }
        destination.endpoints.remove(endpoint);
        recordIfEmpty(destination);
        if (destination.kind.breakerPerEndpoint()) {
            destination.groups.remove(endpoint.group);
        }
    }

    /** Returns the destination with that number, and creates it if it does not exist. */
    DestinationState destination(long id) {
        return destinations.computeIfAbsent(
                id, key -> new DestinationState(key, context.settings.kinds().get(0), context.now));
    }

    /** Sets this sender's subset, by address. */
    void setSubset(Predicate<String> subset) {
        preferred = subset;
        endpoints.values().forEach(endpoint -> endpoint.outsideSubset = !subset.test(endpoint.address));
    }
}
