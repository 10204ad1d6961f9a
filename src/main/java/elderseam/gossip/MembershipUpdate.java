package elderseam.gossip;

/**
 * One entry of gossip on membership: what one member says of another, or of itself.
 *
 * @param member the name of the member it is about
 * @param address {@code ADDRESS:PORT} of that member
 * @param incarnation the incarnation of that member that the update is about
 * @param origin who suspects it or considers it dead; the member itself for the other states
 */
public record MembershipUpdate(String member, String address, MemberState state, long incarnation, String origin) {
    /** Upper bound on the bytes beside the three strings; {@link PacketCodec} writes 12. */
    private static final int FIXED_BYTES = 24;

    /** Returns an upper bound on the bytes of the encoded update. */
    public int maxEncodedBytes() {
        return FIXED_BYTES + member.length() + address.length() + origin.length();
    }
}
