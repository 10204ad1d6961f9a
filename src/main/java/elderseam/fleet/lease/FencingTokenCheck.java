package elderseam.fleet.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks fencing tokens on behalf of the resource that a lease protects: each operation carries the fencing token of
 * its lease, and an operation with a token older than the newest one seen for that lease is rejected. This protects
 * against a holder that was stalled until after its lease had expired and then resumed, even if its own clock still
 * showed the lease as valid.
 *
 * <p>Not thread-safe; confined to the resource's thread.
 */
public final class FencingTokenCheck {
    private final Map<String, Long> newestTokens = new HashMap<>();

    /**
     * Returns whether an operation under {@code lease} with {@code token} may take effect. If so, older tokens are
     * rejected from now on.
     */
    public boolean admit(String lease, long token) {
        if (token < newestTokens.getOrDefault(lease, 0L)) {
            return false;
        }
        newestTokens.put(lease, token);
        return true;
    }
}
