package elderseam.gossip.security;

/** Why an envelope was dropped. Cheap checks are made first; signatures are verified last. */
public enum EnvelopeDropReason {
    /** The bytes are not in the format of an envelope. */
    FORM("form"),
    /** The envelope exceeds the size limit of the transport on which it arrived. */
    OVERSIZED("oversized"),
    /** The sender is not on the roster, or is this member itself. */
    UNKNOWN_SENDER("unknown"),
    /** The roster does not allow the sender to use the source address. */
    ADDRESS("address"),
    /** The sender has no key with the given id. */
    UNKNOWN_KEY("key"),
    /** The envelope lacks the token that this member has issued to the sender. */
    TOKEN("token"),
    /** An envelope with this sequence number was accepted before, or is so old that it may have been. */
    REPLAYED("replayed"),
    /** The limit on signature verifications per second was reached. */
    RATE("rate"),
    /** The signature is not valid for the key. */
    SIGNATURE("seal"),
    /** The signature is valid, but the body is not a packet. */
    BODY("body"),
    /** A hello that is not the first answer to an envelope sent since this member started. */
    HELLO("hello");

    private final String wireName;

    EnvelopeDropReason(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name of the reason in the logged counts. */
    public String wireName() {
        return wireName;
    }
}
