package elderseam.fleet.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * The resource's side of a lease: an act comes with its fencing token, and one older than the newest seen for that name
 * is refused. A holder that was stalled past its lease and acts on waking is stopped here, whatever its own clock told it.
 * Not thread-safe: the resource's one thread owns it.
 */
public final class FencingTokenCheck {
    private final Map<String, Long> newest = new HashMap<>();

    /** Whether the act of {@code token} on {@code name} may take effect; taking it raises the name's newest token. */
    public boolean admit(String name, long token) {
        long seen = newest.getOrDefault(name, 0L);
        if (token < seen) {
            return false;
        }
        newest.put(name, token);
        return true;
    }
}
