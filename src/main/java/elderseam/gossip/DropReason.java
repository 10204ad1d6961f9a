package elderseam.gossip;

/** Why {@link GossipAgent} ignored part of an authenticated packet, or did not send a packet. */
public enum DropReason {
    /** The health report is too old by its reporter's clock. */
    STALE_REPORT("stale claim"),
    /** The signature of the health report is not its reporter's. */
    FORGED_REPORT("forged claim"),
    /** The sender forwarded more health reports per second than are verified. */
    REPORTS_OVER_RATE("claims over rate"),
    /**
     * The membership update is about a member that is not on the roster, or has an address that the member may not use.
     */
    UNKNOWN_MEMBER("stranger"),
    /** The incarnation in the membership update is too far ahead of the wall clock. */
    INCARNATION_AHEAD("ahead"),
    /** The datagram would have exceeded this member's send limit. */
    SEND_LIMIT("ceiling");

    private final String wireName;

    DropReason(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name of the reason in the log event that reports the counts. */
    public String wireName() {
        return wireName;
    }
}
