package elderseam.core;

import java.util.List;

/** Sends attempts to endpoints. Called on the event-loop thread. */
public interface AttemptSender {
    /** A message of a shared call, and the listener of its attempt. */
    record CallEntry(ActiveRequest.Message message, AttemptListener listener) {}

    /**
     * Begins an attempt that must be connected by {@code connectBy} and answered by {@code answerBy}, both of
     * {@link Clock#now}. The listener is never called from within this method.
     */
    EndpointCall send(
            ActiveRequest.Message message, String endpoint, long connectBy, long answerBy, AttemptListener listener);

    /**
     * Begins the attempts of several messages at one endpoint, in one shared call if the protocol supports it. Each
     * attempt ends separately, but cancelling one cancels all attempts that share its call. By default each attempt has
     * a separate call.
     *
     * @return the call of each attempt, in the order of the entries
     */
    default List<EndpointCall> sendAll(List<CallEntry> entries, String endpoint, long connectBy, long answerBy) {
        return entries.stream()
                .map(entry -> send(entry.message(), endpoint, connectBy, answerBy, entry.listener()))
                .toList();
    }

    /** Closes the idle connections to an endpoint. */
    void closeIdle(String endpoint);
}
