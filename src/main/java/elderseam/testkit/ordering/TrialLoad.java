package elderseam.testkit.ordering;

/**
 * What clients hand in during a run; every second client in a class that must not run twice.
 *
 * @param keys ordering keys, each with a client of its own
 * @param unorderedClients clients of classes without order
 * @param messagesPerClient at most, in the time that the actions take
 * @param maxPauseMs between two messages of a client
 * @param minRemainingMs the shortest time that a message has
 * @param eventSenders senders of CloudEvents, who give up early and ask again; the front for events is off without any
 * @param maxBodyBytes the largest body of a message; 0 for small bodies alone
 */
public record TrialLoad(
        int keys,
        int unorderedClients,
        int messagesPerClient,
        int maxPauseMs,
        int minRemainingMs,
        int maxRemainingMs,
        int eventSenders,
        int maxBodyBytes) {
    /** A load of small bodies. */
    public TrialLoad(
            int keys,
            int unorderedClients,
            int messagesPerClient,
            int maxPauseMs,
            int minRemainingMs,
            int maxRemainingMs,
            int eventSenders) {
        this(keys, unorderedClients, messagesPerClient, maxPauseMs, minRemainingMs, maxRemainingMs, eventSenders, 0);
    }

    /** A load of small bodies, without events. */
    public TrialLoad(
            int keys,
            int unorderedClients,
            int messagesPerClient,
            int maxPauseMs,
            int minRemainingMs,
            int maxRemainingMs) {
        this(keys, unorderedClients, messagesPerClient, maxPauseMs, minRemainingMs, maxRemainingMs, 0);
    }
}
