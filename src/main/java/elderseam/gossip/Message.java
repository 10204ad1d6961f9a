package elderseam.gossip;

import java.util.List;

/** What members say to each other, without what travels along. */
public sealed interface Message {
    /** Are you there? {@code target}: who is asked, since an address may have passed to another. */
    record Ping(long number, String target) implements Message {}

    /** Ask that one for me. */
    record PingFor(long number, String target) implements Message {}

    /** I am, or the one asked for is. */
    record Ack(long number) implements Message {}

    /** I have asked, and have heard nothing yet: I am well, the one asked for may not be. */
    record Nack(long number) implements Message {}

    /** Nothing but what travels along. */
    record News() implements Message {}

    /** All that I hold travels along; {@code answer}: I have got yours. */
    record State(boolean answer) implements Message {}

    /** A message to a member. */
    record Sent(String to, Message message, List<MembershipUpdate> first) {}
}
