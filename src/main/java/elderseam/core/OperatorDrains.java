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
 * What an operator has taken out of use, laid over the list of hosts: decisions without I/O. Whatever the list says of such a
 * host, the module sees it as draining. The last list is kept, so that a host can be shown anew when its ban begins or ends.
 */
final class OperatorDrains {
    /** Hosts that may be detached at once, and ids that are remembered after they left the list. */
    static final int MOST = 1_024, REMEMBERED = 4_096;

    private final Set<String> detached;
    private final Map<String, ListedEndpoint> listed = new LinkedHashMap<>();
    private final Set<String> past = new LinkedHashSet<>(); // oldest first

    OperatorDrains(Collection<String> detached) {
        this.detached = new HashSet<>(detached);
    }

    /** The entries of a list as the module is to have them. */
    List<ListedEndpoint> over(ListUpdateKind kind, List<ListedEndpoint> entries) {
        if (kind != ListUpdateKind.CHANGES && kind != ListUpdateKind.FAILED) {
            listed.keySet().forEach(this::remember);
            listed.clear();
        }
        List<ListedEndpoint> seen = new ArrayList<>(entries.size());
        for (ListedEndpoint e : entries) {
            if (e.status() == EndpointStatus.GONE) {
                listed.remove(e.address());
                remember(e.address());
            } else {
                listed.put(e.address(), e);
            }
            seen.add(seen(e));
        }
        return seen;
    }

    private void remember(String id) {
        past.remove(id);
        past.add(id);
        if (past.size() > REMEMBERED) {
            past.remove(past.iterator().next());
        }
    }

    private ListedEndpoint seen(ListedEndpoint e) {
        return e.status() == EndpointStatus.READY && detached.contains(e.address())
                ? new ListedEndpoint(
                        e.address(), e.destination(), e.kind(), e.zone(), EndpointStatus.DRAINING, e.weight())
                : e;
    }

    /** Whether it is, or was, on the list, or is detached. */
    boolean knows(String id) {
        return listed.containsKey(id) || detached.contains(id) || past.contains(id);
    }

    boolean has(String id) {
        return detached.contains(id);
    }

    boolean full() {
        return detached.size() >= MOST;
    }

    /** Begins or ends a ban; the change of the list that it makes for the module. */
    List<ListedEndpoint> set(String id, boolean out) {
        if (out) {
            detached.add(id);
        } else {
            detached.remove(id);
        }
        return listed.containsKey(id) ? List.of(seen(listed.get(id))) : List.of();
    }
}
