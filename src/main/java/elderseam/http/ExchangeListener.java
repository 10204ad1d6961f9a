package elderseam.http;

import elderseam.core.AttemptConnection;
import elderseam.core.ConnectionReuse;
import java.util.function.Consumer;

/**
 * Receives the events of one exchange of an {@link EndpointConnectionPool}. Called on the I/O thread, never from within
 * {@link EndpointConnectionPool#send}.
 */
@FunctionalInterface
public interface ExchangeListener {
    /** A listener for an exchange with this program itself, whose connections need no protection from stray responses. */
    static ExchangeListener ofTrustedPeer(Consumer<HttpResult> onEnded) {
        return new ExchangeListener() {
            @Override
            public ConnectionReuse connectionReuse() {
                return ConnectionReuse.TRUSTED_PEER;
            }

            @Override
            public void ended(HttpResult result) {
                onEnded.accept(result);
            }
        };
    }

    /** Which connections may carry the request. */
    default ConnectionReuse connectionReuse() {
        return ConnectionReuse.SINGLE_USE;
    }

    /** Receives the head of each response on the connections that carry the exchange, from its begin until the next one. */
    default ResponseHeadListener responseHeads() {
        return ResponseHeadListener.NONE;
    }

    /** Called before each write; once it returns false, nothing more is written. */
    default boolean maySend() {
        return true;
    }

    /** The last byte of the request was written on that connection. */
    default void written(AttemptConnection connection) {}

    /** Whether a response that arrives after the exchange was cancelled or timed out is of use as a whole. */
    default boolean awaitsLateResult() {
        return false;
    }

    /**
     * A complete response arrived after the exchange was cancelled or timed out, on a connection that was not used before.
     * Called at most once.
     */
    default void lateResult(HttpResult result) {}

    /** The exchange has ended. Called exactly once. */
    void ended(HttpResult result);

    /**
     * The response with which the exchange ended successfully was probably that of another request: a further response
     * has arrived on a connection that had been used before. Called at most once, after {@link #ended}.
     */
    default void refuted() {}

    /** Whether the listener has a use for {@link #refuted}, and so must be kept after the exchange has ended. */
    default boolean isRefutable() {
        return false;
    }

    /** The size of the request's body, in bytes, if the listener keeps it for {@link #refuted}; 0 if it keeps none. */
    default int retainedBytes() {
        return 0;
    }

    /** The listener must not keep the request's body any longer; {@link #refuted} may still be called. */
    default void releaseRequest() {}
}
