package elderseam.gossip;

/**
 * One update of a member's state, announced by another member or by the member itself.
 *
 * @param member name of the member that the update is about
 * @param address {@code ADDRESS:PORT} of that member
 * @param state state of that member
 * @param incarnation incarnation of that member to which the state belongs
 * @param origin name of the member that suspects it or declared it dead; for the other states, the name of the member
 *     itself
 */
public record MembershipUpdate(String member, String address, MemberState state, long incarnation, String origin) {
    /** Upper bound on the bytes in addition to the three strings; {@link PacketCodec} writes 12. */
    private static final int FIXED_BYTES = 24;

    /** Returns an upper bound on the size of the encoded update in bytes. */
    public int maxEncodedBytes() {
        return FIXED_BYTES + member.length() + address.length() + origin.length();
    }
}
