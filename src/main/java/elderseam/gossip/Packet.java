package elderseam.gossip;

import java.util.List;

/** The unit that one member sends another: a message with the updates and reports that are piggybacked on it. */
public record Packet(Message message, List<MembershipUpdate> updates, List<SignedReport> reports) {
    /** Largest datagram in bytes, its envelope included: below the MTU of the paths in use, so that none is fragmented. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;
    /** Largest full state in bytes, its envelope included. */
    public static final int MAX_FULL_STATE_BYTES = 256 << 10;

    private static final int MAGIC_BYTES = 4; // with version and kind
    private static final int NAME_LENGTH_BYTES = 1;

    /** Returns the bytes that the envelope of a sender with that name adds to a packet. */
    public static int envelopeBytes(String sender) {
        return MAGIC_BYTES
                + NAME_LENGTH_BYTES
                + sender.length()
                + Integer.BYTES // key id
                + Long.BYTES // token
                + Long.BYTES // sequence
                + Long.BYTES // the sender's wall clock
                + SignedReport.SIGNATURE_BYTES;
    }

    public Packet {
        updates = List.copyOf(updates);
        reports = List.copyOf(reports);
    }
}
