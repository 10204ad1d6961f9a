package elderseam.gossip;

/**
 * Signs this member's health reports, and verifies the signatures and the addresses of other members, by their known
 * keys.
 */
public interface PeerVerifier {
    /** Returns the id of the key that {@link #sign} uses; other members look the key up by this id. */
    int keyId();

    /** Signs the bytes with this member's key; the signature has {@link SignedReport#SIGNATURE_BYTES} bytes. */
    byte[] sign(byte[] bytes);

    /**
     * Returns whether the signature was made with the given key of the member; false if the member or the key is
     * unknown.
     */
    boolean isSignatureValid(String member, int keyId, byte[] bytes, byte[] signature);

    /** Returns whether the member is known and may use the address, given as {@code ADDRESS:PORT}. */
    boolean isAddressAllowed(String member, String address);
}
