package elderseam.testkit.emulator;

import elderseam.core.AttemptOutcome;
import elderseam.core.FinalOutcome;

/** What happens in a world, told to whoever watches: times in ns of virtual time, dispatchers by their number. */
public interface WorldListener {
    /** A client's message as the world knows it; what it becomes is its watchers' to keep. */
    record Msg(String id, int cls, int tenant, long destination, long born, long deadline) {}

    default void handedIn(long now, Msg m, boolean again) {}

    /** A dispatcher has taken it on. */
    default void taken(long now, int dispatcher, Msg m) {}

    /** A dispatcher's final answer has reached the client: with REFUSED it may hand the message in again. */
    default void answered(long now, Msg m, FinalOutcome answer) {}

    /** Nothing more will come of the message: the client's own end of it. */
    default void over(long now, Msg m, FinalOutcome.Kind kind) {}

    /** A dispatcher sends an attempt. */
    default void called(long now, int dispatcher, Msg m, String endpoint) {}

    /** A dispatcher opens a connection to an endpoint, which stands idle until then unless it is used again. */
    default void connects(long now, int dispatcher, String endpoint, long until) {}

    /** It knows how the attempt ended, or gave it up. */
    default void ended(long now, int dispatcher, Msg m, String endpoint, AttemptOutcome end) {}

    /** A destination acts on a message. */
    default void ran(long now, Msg m) {}

    /** A dispatcher has read that a destination wants to be left alone until then. */
    default void waits(long now, int dispatcher, long destination, long until) {}

    /** A dispatcher has been told that an endpoint drains. */
    default void drains(long now, int dispatcher, String endpoint) {}

    /** A destination's trouble begins or ends; with the end it is cold. */
    default void trouble(long now, long destination, boolean begins) {}

    /** A cold destination was pushed over. */
    default void felled(long now, long destination) {}

    /** A dispatcher's process ends, or serves again. */
    default void process(long now, int dispatcher, boolean up) {}
}
