package elderseam.gossip;

/** The keys and addresses of the members, as far as {@link GossipAgent} needs them: signing and verifying health reports. */
public interface PeerVerifier {
    /** Returns the id of this member's key, by which others find it; {@link #sign} uses that key. */
    int keyId();

    /** Returns this member's signature over the bytes: {@link SignedReport#SIGNATURE_BYTES} bytes. */
    byte[] sign(byte[] bytes);

    /** Whether that key of the member made the signature; false also for an unknown member or key. */
    boolean isSignatureValid(String member, int keyId, byte[] bytes, byte[] signature);

    /** Whether the member is known and may use that address, {@code ADDRESS:PORT}. */
    boolean isAddressAllowed(String member, String address);
}
