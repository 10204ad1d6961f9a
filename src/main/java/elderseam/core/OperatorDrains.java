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
 * The endpoints that an operator has drained. To the policy, a ready endpoint on the endpoint list appears as draining
 * while it is drained. Stores the latest list, so that an endpoint can be reported to the policy again when its drain
 * begins or ends. Does no I/O; confined to the event-loop thread.
 */
final class OperatorDrains {
    /** Maximum number of endpoints that are drained at the same time. */
    static final int MAX_DRAINED = 1_024;

    /** Maximum number of endpoints that are remembered after their removal from the list. */
    static final int MAX_REMEMBERED = 4_096;

    private final Set<String> drained;
    private final Map<String, ListedEndpoint> listed = new LinkedHashMap<>();
    private final Set<String> formerlyListed = new LinkedHashSet<>(); // oldest first

    /** {@code restored}: addresses of the endpoints that were drained under an earlier process. */
    OperatorDrains(Collection<String> restored) {
        this.drained = new HashSet<>(restored);
    }

    /** Applies an update of the endpoint list; returns its entries as they must be reported to the policy. */
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

    private void remember(String address) {
        formerlyListed.remove(address);
        formerlyListed.add(address);
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

    /** Whether the endpoint is on the list, was recently removed from it, or is drained. */
    boolean isKnown(String address) {
        return listed.containsKey(address) || drained.contains(address) || formerlyListed.contains(address);
    }

    /** Whether the endpoint is drained. */
    boolean isDrained(String address) {
        return drained.contains(address);
    }

    /** Whether the maximum number of endpoints is drained. */
    boolean isFull() {
        return drained.size() >= MAX_DRAINED;
    }

    /** Begins or ends a drain; returns the resulting change of the list, to be reported to the policy. */
    List<ListedEndpoint> setDrained(String address, boolean drain) {
        if (drain) {
            drained.add(address);
        } else {
            drained.remove(address);
        }
        return listed.containsKey(address) ? List.of(withDrain(listed.get(address))) : List.of();
    }
}
