package elderseam.gossip;

/**
 * A health report with its reporter's signature, as it travels; members that pass it on can't change it.
 *
 * @param reporterWallMs the reporter's wall clock in milliseconds when it signed; the receiver corrects it by that clock's
 *     offset
 * @param keyId which of the reporter's keys signed
 * @param signature over all other fields, as {@link PacketCodec#signedBytes} writes them
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

    /** Returns the bytes of the encoded report. */
    public int encodedBytes() {
        return FIXED_BYTES + report.reporter().length();
    }
}
