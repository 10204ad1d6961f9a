package elderseam.gossip.security;

import elderseam.gossip.Packet;

/** The result of opening a received envelope. */
public sealed interface OpenResult {
    /**
     * A packet with a valid signature, which was created for this member after this member's last start and is received
     * for the first time.
     *
     * @param senderWallMs the sender's wall clock in milliseconds
     */
    record Opened(String sender, Packet packet, long senderWallMs) implements OpenResult {}

    /**
     * The sender has issued its token to this member, so a body that it rejected for lack of the token can be resent.
     */
    record HelloAccepted(String sender) implements OpenResult {}

    /** The envelope lacks this member's token; the caller has to reply with {@code hello}, which issues the token. */
    record TokenOffered(byte[] hello) implements OpenResult {}

    /** The envelope was dropped and counted. */
    record Dropped() implements OpenResult {
        static final Dropped INSTANCE = new Dropped();
    }
}
