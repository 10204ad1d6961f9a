package elderseam.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The endpoints as listed and their destinations. Bookkeeping only; confined to the policy's thread. */
final class EndpointDirectory {
    private final PolicyContext context;
    /** By address, in the order in which they were listed first. */
    final Map<String, EndpointState> endpoints = new LinkedHashMap<>();

    final Map<Long, DestinationState> destinations = new HashMap<>();
    /** Destinations without an endpoint. */
    final List<DestinationState> empty = new ArrayList<>();
    /** Whether an address is in this sender's subset. */
    private Predicate<String> preferred = address -> true;

    EndpointDirectory(PolicyContext context) {
        this.context = context;
    }

    /** Takes in an update that was received; {@code complete}: what it does not name is no longer listed. */
    void update(boolean complete, List<ListedEndpoint> entries) {
        if (complete) {
            endpoints.values().forEach(endpoint -> endpoint.removed = true);
        }
        entries.forEach(this::update);
        endpoints.values().forEach(endpoint -> endpoint.ready &= !endpoint.removed);
        endpoints.values().stream()
                .filter(endpoint -> endpoint.removed && endpoint.inFlight == 0)
                .toList()
                .forEach(this::remove);
        empty.removeIf(destination -> !destination.endpoints.isEmpty());
        empty.stream()
                .filter(destination -> !destination.active && !LoadShedder.mayAccept(destination, context))
                .forEach(destination -> destinations.remove(destination.id));
        empty.removeIf(destination -> !destinations.containsKey(destination.id));
    }

    private void update(ListedEndpoint entry) {
        boolean gone = entry.status() == EndpointStatus.GONE;
        EndpointState endpoint = endpoints.get(entry.address());
        if (endpoint == null) {
            if (gone) {
                return;
            }
            endpoint = add(entry);
        }
        EndpointSelector.onListed(endpoint, entry.status() == EndpointStatus.READY, context.now);
        endpoint.removed = gone;
        if (context.settings.weightPrecision() != WeightPrecision.UNKNOWN && endpoint.ready) {
            endpoint.group.estimate.advertised = entry.weight();
        }
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

    private EndpointGroup group(DestinationState destination, String address) {
        boolean apart = destination.kind.routesApart();
        if (!apart && !destination.groups.isEmpty()) {
            return destination.groups.get(0);
        }
        String name = apart ? destination.id + "/" + address : Long.toString(destination.id);
        EndpointGroup group = new EndpointGroup(name, destination.kind.batch(), context, context.now);
        destination.groups.add(group);
        return group;
    }

    /** Forgets an endpoint that is no longer listed and has nothing in flight; a successor starts anew. */
    private void remove(EndpointState endpoint) {
        DestinationState destination = endpoint.destination;
        endpoints.remove(endpoint.address);
        destination.endpoints.remove(endpoint);
        if (destination.endpoints.isEmpty()) {
            destination.emptySince = context.now;
            empty.add(destination);
        }
        if (destination.kind.routesApart()) {
            destination.groups.remove(endpoint.group);
        }
    }

    /** The destination with that number, made where it is not known yet. */
    DestinationState destination(long id) {
        return destinations.computeIfAbsent(
                id, key -> new DestinationState(key, context.settings.kinds().get(0), context.now));
    }

    /** Sets this sender's subset, by address. */
    void prefer(Predicate<String> subset) {
        preferred = subset;
        endpoints.values().forEach(endpoint -> endpoint.outsideSubset = !subset.test(endpoint.address));
    }
}
