package elderseam.gossip;

/**
 * A health report with its reporter's signature, as sent between members. Members that forward it can't alter it
 * unnoticed.
 *
 * @param reporterWallMs the reporter's wall clock in milliseconds at the time of signing; the receiver corrects it by
 *     the estimated offset of that clock
 * @param keyId id of the reporter's key that made the signature
 * @param signature signature over all other fields, as encoded by {@link PacketCodec#signedBytes}
 */
public record SignedReport(HealthReport report, long reporterWallMs, int keyId, byte[] signature) {
    /** Length of an Ed25519 signature (RFC 8032, section 5.1.6). */
    public static final int SIGNATURE_BYTES = 64;

    private static final int FIXED_BYTES = 1 // length of the reporter's name
            + 3 * Long.BYTES // incarnation, sequence, destination
            + 1 // state
            + 4 * Integer.BYTES // Retry-After, calls, failures, window
            + Long.BYTES // wall clock
            + Integer.BYTES // key id
            + SIGNATURE_BYTES;

    /** Returns the size of the encoded report in bytes. */
    public int encodedBytes() {
        return FIXED_BYTES + report.reporter().length();
    }
}
