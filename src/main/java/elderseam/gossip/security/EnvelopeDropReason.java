package elderseam.gossip.security;

/** Why an envelope was dropped. The cheaper checks come first; signatures are verified last. */
public enum EnvelopeDropReason {
    /** It has not the form of an envelope. */
    FORM("form"),
    OVERSIZED("oversized"),
    /** Its sender is not on the roster, or is this member itself. */
    UNKNOWN_SENDER("unknown"),
    /** Its sender may not use the address that it came from. */
    ADDRESS("address"),
    /** Its sender has no key with that id. */
    UNKNOWN_KEY("key"),
    /** It does not have the token that this member has handed out to its sender. */
    TOKEN("token"),
    /** An envelope with its sequence number was accepted before, or might have been. */
    REPLAYED("replayed"),
    /** More signatures than are verified in a second. */
    RATE("rate"),
    SIGNATURE("seal"),
    /** Genuine, but it does not hold a packet. */
    BODY("body"),
    /** A hello that answers no envelope of this run. */
    HELLO("hello");

    private final String wireName;

    EnvelopeDropReason(String wireName) {
        this.wireName = wireName;
    }

    /** The reason's name in the log line of counts. */
    public String wireName() {
        return wireName;
    }
}
