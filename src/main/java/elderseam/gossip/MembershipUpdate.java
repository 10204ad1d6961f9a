package elderseam.gossip;

/** What one member says of another, or of itself. {@code from}: who suspects or declares dead; itself otherwise. */
public record MembershipUpdate(String member, String address, MemberState standing, long incarnation, String from) {
    private static final int FIXED = 24;

    /** Bytes on the wire, at most. */
    public int bytes() {
        return FIXED + member.length() + address.length() + from.length();
    }
}
