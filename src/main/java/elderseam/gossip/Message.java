package elderseam.gossip;

/**
 * The messages between members, after SWIM (Das, Gupta, Motivala 2002, section 3.1) and Lifeguard (Dadgar, Phillips, Currey
 * 2018, section IV). Membership updates and health reports are piggybacked on each: see {@link Packet}.
 */
public sealed interface Message {
    /**
     * Asks the receiver for an {@link Ack}.
     *
     * @param sequence repeated in the answer
     * @param target the member that is meant: another one may have taken over its address
     */
    record Ping(long sequence, String target) implements Message {}

    /** SWIM's ping-req: asks the receiver to ping {@code target} and to pass its answer on. */
    record PingRequest(long sequence, String target) implements Message {}

    /** Answers a {@link Ping}, or a {@link PingRequest} whose target has answered. */
    record Ack(long sequence) implements Message {}

    /** Answers a {@link PingRequest} whose target has not answered yet: the helper is well, the target may not be. */
    record Nack(long sequence) implements Message {}

    /** Carries nothing but what is piggybacked on it. */
    record Gossip() implements Message {}

    /**
     * One half of a full state exchange (push-pull); the state is piggybacked on it.
     *
     * @param isReply whether it answers the other member's state
     */
    record FullState(boolean isReply) implements Message {}
}
