package elderseam.testkit.ordering;

import elderseam.testkit.ordering.OrderHistory.Call;
import elderseam.testkit.ordering.OrderHistory.Wait;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Checks a finished history: no endpoint is called during a wait that it asked for, or another one with the same circuit
 * breaker, except within the first 100 ms. The end of the process ends a wait; a handover does not.
 */
final class WaitChecker {
    /** Calls that arrive so soon after the answer are let through, by the protocol. */
    private static final long LET_THROUGH_NS = 100_000_000;

    private final RestartWindows restarts;
    private final long origin;

    /** {@code origin}: the time that reports count from. */
    WaitChecker(RestartWindows restarts, long origin) {
        this.restarts = restarts;
        this.origin = origin;
    }

    /** One violation for each wait that was broken. */
    List<String> check(OrderHistory history) {
        List<String> violations = new ArrayList<>();
        for (Wait wait : history.waits()) {
            long end = restarts.firstEndWithin(wait.start(), wait.end());
            List<Call> inside = history.calls().stream()
                    .filter(call -> call.breaker == wait.breaker())
                    .filter(call -> call.start > wait.start() + LET_THROUGH_NS && call.start < end)
                    .toList();
            if (!inside.isEmpty()) {
                violations.add(report(wait, inside));
            }
        }
        return violations;
    }

    private String report(Wait wait, List<Call> inside) {
        return String.format(
                Locale.ROOT,
                "wait of %.3f s at %.3f s: breaker %d, %s: %d calls inside, the first at %.3f s (%s)",
                (wait.end() - wait.start()) / 1e9,
                (wait.start() - origin) / 1e9,
                wait.breaker(),
                wait.fault(),
                inside.size(),
                (inside.get(0).start - origin) / 1e9,
                inside.get(0).messageId);
    }
}
