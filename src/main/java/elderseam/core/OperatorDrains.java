package elderseam.core;

import elderseam.policy.EndpointStatus;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints that an operator drains, laid over the endpoint list: whatever the list says of such an endpoint, the
 * policy sees it as draining. Keeps the last list, so that an endpoint can be reported anew when its drain begins or
 * ends. Does no I/O; confined to the event-loop thread.
 */
final class OperatorDrains {
    /** Endpoints that may be drained at once. */
    static final int MAX_DRAINED = 1_024;

    /** ListedEndpoint ids that are remembered after they left the list. */
    static final int MAX_REMEMBERED = 4_096;

    private final Set<String> drained;
    private final Map<String, ListedEndpoint> listed = new LinkedHashMap<>();
    private final Set<String> formerlyListed = new LinkedHashSet<>(); // oldest first

    /** {@code drained}: those whose drain has outlasted the process. */
    OperatorDrains(Collection<String> drained) {
        this.drained = new HashSet<>(drained);
    }

    /** Takes an update of the list; the entries as the policy is to see them. */
    List<ListedEndpoint> apply(ListUpdateKind kind, List<ListedEndpoint> entries) {
        if (kind != ListUpdateKind.CHANGES && kind != ListUpdateKind.FAILED) {
            listed.keySet().forEach(this::remember);
            listed.clear();
        }
        List<ListedEndpoint> visible = new ArrayList<>(entries.size());
        for (ListedEndpoint entry : entries) {
            if (entry.status() == EndpointStatus.GONE) {
                listed.remove(entry.address());
                remember(entry.address());
            } else {
                listed.put(entry.address(), entry);
            }
            visible.add(withDrain(entry));
        }
        return visible;
    }

    private void remember(String id) {
        formerlyListed.remove(id);
        formerlyListed.add(id);
        if (formerlyListed.size() > MAX_REMEMBERED) {
            formerlyListed.remove(formerlyListed.iterator().next());
        }
    }

    private ListedEndpoint withDrain(ListedEndpoint entry) {
        if (entry.status() != EndpointStatus.READY || !drained.contains(entry.address())) {
            return entry;
        }
        return new ListedEndpoint(
                entry.address(),
                entry.destination(),
                entry.kind(),
                entry.zone(),
                EndpointStatus.DRAINING,
                entry.weight());
    }

    /** Whether the endpoint is, or was lately, on the list, or is drained. */
    boolean knows(String id) {
        return listed.containsKey(id) || drained.contains(id) || formerlyListed.contains(id);
    }

    /** Whether the endpoint is drained. */
    boolean contains(String id) {
        return drained.contains(id);
    }

    /** Whether no further endpoint may be drained. */
    boolean isFull() {
        return drained.size() >= MAX_DRAINED;
    }

    /** Begins or ends a drain; the change of the list that this makes for the policy. */
    List<ListedEndpoint> set(String id, boolean drain) {
        if (drain) {
            drained.add(id);
        } else {
            drained.remove(id);
        }
        return listed.containsKey(id) ? List.of(withDrain(listed.get(id))) : List.of();
    }
}
