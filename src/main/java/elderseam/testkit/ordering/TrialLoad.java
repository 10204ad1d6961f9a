package elderseam.testkit.ordering;

/**
 * What clients hand in during a run; every second client in a class that must not run twice.
 *
 * @param keys ordering keys, each with a client of its own
 * @param unorderedClients clients of classes without order
 * @param messagesPerClient at most, in the time that the actions take
 * @param maxPauseMs between two messages of a client
 * @param minRemainingMs the shortest time that a message has
 */
public record TrialLoad(
        int keys,
        int unorderedClients,
        int messagesPerClient,
        int maxPauseMs,
        int minRemainingMs,
        int maxRemainingMs) {}
