package elderseam.gossip;

import java.util.List;

/** The unit of transmission between members: a message with the updates and reports that are piggybacked on it. */
public record Packet(Message message, List<MembershipUpdate> updates, List<SignedReport> reports) {
    /** Maximum size of a datagram in bytes, including its envelope: below the path MTU, so that none is fragmented. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;
    /** Maximum size of a full state in bytes, including its envelope. */
    public static final int MAX_FULL_STATE_BYTES = 256 << 10;

    private static final int HEADER_BYTES = 4; // magic number, version and kind
    private static final int NAME_LENGTH_BYTES = 1;

    /** Returns the number of bytes that the envelope of a sender with that name adds to a packet. */
    public static int envelopeBytes(String sender) {
        return HEADER_BYTES
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
