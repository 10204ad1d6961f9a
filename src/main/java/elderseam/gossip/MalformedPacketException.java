package elderseam.gossip;

/**
 * The bytes are no packet. It has no stack trace and no reason: such bytes come from the network, perhaps in floods, and the
 * receiver only counts them.
 */
public final class MalformedPacketException extends RuntimeException {
    private static final long serialVersionUID = 1;

    MalformedPacketException() {
        super("malformed packet", null, false, false);
    }
}
