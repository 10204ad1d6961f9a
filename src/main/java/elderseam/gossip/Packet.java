package elderseam.gossip;

import java.util.List;

/** What one member tells another at once: a message, and what travels along. */
public record Packet(Message message, List<Rumour> rumours, List<Signed> claims) {
    /** The most on the wire, with its envelope: no path in use today splits it. */
    public static final int DATAGRAM = 1_400;
    /** The most of a full exchange, with its envelope. */
    public static final int STATE = 256 << 10;

    public Packet {
        rumours = List.copyOf(rumours);
        claims = List.copyOf(claims);
    }
}
