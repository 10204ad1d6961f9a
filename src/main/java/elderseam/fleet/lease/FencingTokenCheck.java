package elderseam.fleet.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * The resource's side of a lease: every act carries its fencing token, and an act with a token older than the newest one
 * seen for that lease is rejected. This stops a holder that was stalled past its lease and acts when it resumes, whatever
 * its own clock said.
 *
 * <p>Not thread-safe; confined to the resource's thread.
 */
public final class FencingTokenCheck {
    private final Map<String, Long> newestTokens = new HashMap<>();

    /** Whether an act under {@code lease} with {@code token} may take effect; if so, older tokens are rejected from now on. */
    public boolean admit(String lease, long token) {
        if (token < newestTokens.getOrDefault(lease, 0L)) {
            return false;
        }
        newestTokens.put(lease, token);
        return true;
    }
}
