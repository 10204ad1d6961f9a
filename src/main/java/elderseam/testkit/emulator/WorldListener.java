package elderseam.testkit.emulator;

import elderseam.core.AttemptOutcome;
import elderseam.core.FinalOutcome;

/**
 * Observes what happens in an {@link EmulatedWorld}. Times are nanoseconds of virtual time; dispatchers are numbered from 0. Methods are
 * called on the world's thread, in the order of the events, and do nothing by default.
 */
public interface WorldListener {
    /**
     * A request of a client, as the world knows it.
     *
     * @param requestClass index in {@link Policies#CLASSES}
     * @param tenant counted from 0
     * @param created when it was first submitted
     * @param deadline when its client stops waiting
     */
    record ClientRequest(String id, int requestClass, int tenant, long destination, long created, long deadline) {}

    /** A client submits a request, for the first time or again. */
    default void submitted(long now, ClientRequest request, boolean again) {}

    /** A dispatcher has accepted a request, and owes its final answer. */
    default void accepted(long now, int dispatcher, ClientRequest request) {}

    /** A dispatcher's final answer has reached the client, which may submit the request again after a rejection. */
    default void answered(long now, ClientRequest request, FinalOutcome answer) {}

    /** A dispatcher answers a request whose client does not wait for an answer. */
    default void answeredUnexpectedly(long now, String requestId, FinalOutcome answer) {}

    /** A client has the last answer to a request: it will not submit it again. */
    default void finished(long now, ClientRequest request, FinalOutcome.Kind kind) {}

    /** The run has ended, and a request has had no answer. */
    default void lost(long now, ClientRequest request) {}

    /** A dispatcher sends an attempt. */
    default void attemptSent(long now, int dispatcher, ClientRequest request, String endpoint) {}

    /** A dispatcher opens a connection, which stays idle until then unless it is used again. */
    default void connectionOpened(long now, int dispatcher, String endpoint, long idleUntil) {}

    /** A dispatcher learns how an attempt ended, or gives it up. */
    default void attemptEnded(
            long now, int dispatcher, ClientRequest request, String endpoint, AttemptOutcome outcome) {}

    /** A destination acts on a request. */
    default void executed(long now, ClientRequest request) {}

    /** A dispatcher has read that a destination wants no calls before then. */
    default void retryAfterReceived(long now, int dispatcher, long destination, long until) {}

    /** A dispatcher learns that an endpoint drains or is gone. */
    default void drainReceived(long now, int dispatcher, String endpoint) {}

    /** A destination's trouble begins or ends. */
    default void troubleChanged(long now, long destination, boolean begins) {}

    /** A cold destination collapses under its calls. */
    default void collapsed(long now, long destination) {}

    /** A dispatcher's process starts or ends. */
    default void processChanged(long now, int dispatcher, boolean up) {}
}
