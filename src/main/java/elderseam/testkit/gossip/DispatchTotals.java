package elderseam.testkit.gossip;

import java.util.Locale;

/**
 * What the messages of one or more dispatchers came to.
 *
 * @param deliveredValue the value of the delivered messages: each one's priority weight, less for a late one
 * @param possibleValue the priority weights of all messages that clients handed in
 * @param messages messages that clients handed in, each counted once
 * @param calls calls to destinations
 * @param failedCalls calls that neither delivered nor met a full destination, and cancelled calls
 * @param refusals messages that were refused with a Retry-After
 * @param failures messages that failed for good
 */
public record DispatchTotals(
        double deliveredValue,
        double possibleValue,
        int messages,
        int calls,
        int failedCalls,
        int refusals,
        int failures) {
    /** The totals of no dispatcher. */
    static final DispatchTotals NONE = new DispatchTotals(0, 0, 0, 0, 0, 0, 0);

    /** The sums of both. */
    public DispatchTotals plus(DispatchTotals other) {
        return new DispatchTotals(
                deliveredValue + other.deliveredValue,
                possibleValue + other.possibleValue,
                messages + other.messages,
                calls + other.calls,
                failedCalls + other.failedCalls,
                refusals + other.refusals,
                failures + other.failures);
    }

    /** The share of the possible value that was delivered, 0 to 1. */
    public double service() {
        return deliveredValue / possibleValue;
    }

    /** Members of a JSON object, from {@code service} to {@code failures}. */
    public String jsonMembers(int callsWhileDown) {
        return String.format(
                Locale.ROOT,
                "\"service\":%.5f,\"messages\":%d,\"calls\":%d,\"failed_calls\":%d,\"calls_while_down\":%d,"
                        + "\"refusals\":%d,\"failures\":%d",
                service(),
                messages,
                calls,
                failedCalls,
                callsWhileDown,
                refusals,
                failures);
    }
}
