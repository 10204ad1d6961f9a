package elderseam.gossip;

/** Why {@link GossipAgent} ignored content of a packet whose sender was authenticated, or did not send a packet. */
public enum DropReason {
    /** A health report that is too old by its reporter's clock. */
    STALE_REPORT("stale claim"),
    /** A health report whose signature is not its reporter's. */
    FORGED_REPORT("forged claim"),
    /** One sender passed on more reports than are verified in a second. */
    REPORTS_OVER_RATE("claims over rate"),
    /** An update of a member that is not on the roster, or not at an address that it may use. */
    UNKNOWN_MEMBER("stranger"),
    /** An update with an incarnation too far ahead of the wall clock. */
    INCARNATION_AHEAD("ahead"),
    /** This member's own limit on what it sends. */
    SEND_LIMIT("ceiling");

    private final String wireName;

    DropReason(String wireName) {
        this.wireName = wireName;
    }

    /** The reason's name in the log line of counts. */
    public String wireName() {
        return wireName;
    }
}
