package elderseam.gossip;

/**
 * The messages between members, based on SWIM (Das, Gupta, Motivala 2002, section 3.1) and Lifeguard (Dadgar, Phillips,
 * Currey 2018, section IV). Membership updates and health reports are piggybacked on every message: see {@link Packet}.
 */
public sealed interface Message {
    /**
     * Asks the receiver for an {@link Ack}.
     *
     * @param sequence number that the ack repeats
     * @param target name of the member to be pinged: its address may belong to another member by now
     */
    record Ping(long sequence, String target) implements Message {}

    /** SWIM's ping-req: asks the receiver to ping {@code target} and to relay the ack. */
    record PingRequest(long sequence, String target) implements Message {}

    /** Answers a {@link Ping}, or a {@link PingRequest} whose target has answered. */
    record Ack(long sequence) implements Message {}

    /**
     * Answers a {@link PingRequest} whose target has not answered yet: the relay is reachable, the target may not be.
     */
    record Nack(long sequence) implements Message {}

    /** Has no content of its own; sent only for the updates and reports piggybacked on it. */
    record Gossip() implements Message {}

    /**
     * One half of a full state exchange (push-pull); the state is piggybacked on it.
     *
     * @param isReply whether this is the second half, which answers the other member's full state
     */
    record FullState(boolean isReply) implements Message {}
}
