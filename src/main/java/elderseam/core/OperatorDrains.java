package elderseam.core;

import elderseam.policy.Sender.Endpoint;
import elderseam.policy.Sender.ListKind;
import elderseam.policy.Sender.Listing;
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
    private final Map<String, Endpoint> listed = new LinkedHashMap<>();
    private final Set<String> past = new LinkedHashSet<>(); // oldest first

    OperatorDrains(Collection<String> detached) {
        this.detached = new HashSet<>(detached);
    }

    /** The entries of a list as the module is to have them. */
    List<Endpoint> over(ListKind kind, List<Endpoint> entries) {
        if (kind != ListKind.CHANGES && kind != ListKind.FAILED) {
            listed.keySet().forEach(this::remember);
            listed.clear();
        }
        List<Endpoint> seen = new ArrayList<>(entries.size());
        for (Endpoint e : entries) {
            if (e.listing() == Listing.GONE) {
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

    private Endpoint seen(Endpoint e) {
        return e.listing() == Listing.READY && detached.contains(e.address())
                ? new Endpoint(e.address(), e.destination(), e.kind(), e.zone(), Listing.DRAINING, e.weight())
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
    List<Endpoint> set(String id, boolean out) {
        if (out) {
            detached.add(id);
        } else {
            detached.remove(id);
        }
        return listed.containsKey(id) ? List.of(seen(listed.get(id))) : List.of();
    }
}
