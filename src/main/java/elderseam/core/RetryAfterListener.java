package elderseam.core;

/** Learns of waits that endpoints ask for. Called on the event-loop thread. */
@FunctionalInterface
public interface RetryAfterListener {
    /** A listener that does nothing. */
    RetryAfterListener NONE = (endpoint, waitNs, presumed) -> {};

    /**
     * An endpoint has asked that its destination is not called for {@code waitNs}, in whatever response.
     *
     * @param presumed whether what the response asks for can't be read, so that the wait is a presumption
     */
    void retryAfterReceived(String endpoint, long waitNs, boolean presumed);
}
