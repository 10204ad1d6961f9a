package elderseam.gossip;

/**
 * A claim with its reporter's word for it, as it travels.
 *
 * @param wallMs the reporter's wall clock when it was issued; who holds it knows how far that clock is off
 * @param key which of the reporter's keys sealed it
 * @param seal over all else; who passes it on can't change it
 */
public record SignedReport(HealthReport claim, long wallMs, int key, byte[] seal) {
    static final int SEAL = 64; // bytes of an Ed25519 signature (RFC 8032, section 5.1.6)
    private static final int FIXED = 1 + 8 + 8 + 8 + 1 + 4 + 4 + 4 + 4 + 8 + 4 + SEAL;

    /** Bytes on the wire. */
    public int bytes() {
        return FIXED + claim.reporter().length();
    }
}
