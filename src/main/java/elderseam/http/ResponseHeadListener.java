package elderseam.http;

/**
 * Receives the head of each response that is read on connections to endpoints, also of one that is not believed: it may be
 * incomplete, malformed, late, or belong to another request or to none. What it asks of its destination holds all the
 * same, and what it grants does not. Called on the I/O thread as soon as the head is read; for a head that arrives in
 * parts, after each part.
 */
@FunctionalInterface
public interface ResponseHeadListener {
    /** A listener that does nothing. */
    ResponseHeadListener NONE = (endpoint, head) -> {};

    /** The head of a response, or a part of it, has been read. */
    void headReceived(EndpointAddress endpoint, ResponseHead head);
}
