package elderseam.http;

import elderseam.core.AttemptConnection;

/**
 * Receives the events of one exchange of an {@link EndpointConnectionPool}. Called on the I/O thread, never from within
 * {@link EndpointConnectionPool#send}.
 */
@FunctionalInterface
public interface ExchangeListener {
    /** Called before each write; once it returns false, nothing more is written. */
    default boolean maySend() {
        return true;
    }

    /** The last byte of the request was written on that connection. */
    default void written(AttemptConnection connection) {}

    /**
     * Whether a response that arrives after the exchange was cancelled or timed out is of use. If not, its connection is
     * closed at once.
     */
    default boolean awaitsLateResult() {
        return false;
    }

    /** A complete response arrived after the exchange was cancelled or timed out. Called at most once. */
    default void lateResult(HttpResult result) {}

    /** The exchange has ended. Called exactly once. */
    void ended(HttpResult result);
}
