package elderseam.frontend.cloudevents;

import java.util.List;

/**
 * The events of a request.
 *
 * @param batch whether the request is a batch, which has a result for each event; else there is one event
 */
record DecodedRequest(boolean batch, List<DecodedEvent> events) {
    /** A request with one event. */
    static DecodedRequest single(DecodedEvent event) {
        return new DecodedRequest(false, List.of(event));
    }

    /** A request that can't be accepted as a whole. */
    static DecodedRequest invalid(int status, String reason) {
        return single(DecodedEvent.Invalid.unidentified(status, reason));
    }
}
