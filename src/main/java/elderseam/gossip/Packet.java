package elderseam.gossip;

import java.util.List;

/** What one member tells another at once: a message, and what travels along. */
public record Packet(Message message, List<MembershipUpdate> rumours, List<SignedReport> claims) {
    /** The most on the wire, with its envelope: no path in use today splits it. */
    public static final int DATAGRAM = 1_400;
    /** The most of a full exchange, with its envelope. */
    public static final int STATE = 256 << 10;

    /** Bytes around a body from a member of that name: magic, version, kind, name, key, token, number, wall clock, seal. */
    public static int envelope(String name) {
        return 4 + 1 + name.length() + 4 + 8 + 8 + 8 + SignedReport.SEAL;
    }

    public Packet {
        rumours = List.copyOf(rumours);
        claims = List.copyOf(claims);
    }
}
