package elderseam.gossip;

/** What an instance needs to know of keys: who may speak, and whether they did. */
public interface PeerVerifier {
    /** This instance's key, as others know it; {@link #seal} uses it. */
    int key();

    /** A seal of 64 bytes over those. */
    byte[] seal(byte[] bytes);

    /** Whether that member's key made the seal; false too of one that is not on the roster, or has no such key. */
    boolean genuine(String name, int key, byte[] bytes, byte[] seal);

    /** Whether that member is on the roster, and may be at that address ({@code ADDRESS:PORT}). */
    boolean mayBeAt(String name, String address);
}
