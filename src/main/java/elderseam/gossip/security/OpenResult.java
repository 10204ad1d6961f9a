package elderseam.gossip.security;

import elderseam.gossip.Packet;

/** What a received envelope came to. */
public sealed interface OpenResult {
    /**
     * A packet that its sender signed for this run of this member, received for the first time.
     *
     * @param senderWallMs the sender's wall clock in milliseconds
     */
    record Opened(String sender, Packet packet, long senderWallMs) implements OpenResult {}

    /** The sender has handed out its token: what was sent to it in vain can be sent again. */
    record HelloAccepted(String sender) implements OpenResult {}

    /** The envelope lacks this member's token; {@code hello}, which hands it out, is to be sent back. */
    record TokenOffered(byte[] hello) implements OpenResult {}

    /** It was dropped, and counted. */
    record Dropped() implements OpenResult {
        static final Dropped INSTANCE = new Dropped();
    }
}
