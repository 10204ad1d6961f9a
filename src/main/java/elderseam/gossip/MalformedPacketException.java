package elderseam.gossip;

/**
 * Thrown if bytes are not a valid packet. It has no stack trace and no detailed reason, to be cheap to create: such
 * bytes arrive from the network, possibly in floods, and the receiver only counts them.
 */
public final class MalformedPacketException extends RuntimeException {
    private static final long serialVersionUID = 1;

    MalformedPacketException() {
        super("malformed packet", null, false, false);
    }
}
