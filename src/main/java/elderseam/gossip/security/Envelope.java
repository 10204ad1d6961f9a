package elderseam.gossip.security;

import elderseam.gossip.Packet;
import elderseam.gossip.SignedReport;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.PublicKey;
import java.util.Arrays;

/**
 * The binary format of an envelope, big-endian: magic number, version and kind in four bytes; the length of the
 * sender's name in one byte, and the name; key id, token, sequence number and the sender's wall clock; the body; the
 * signature over all preceding bytes.
 *
 * <p>One instance is reused to read all received envelopes, so that a flood of envelopes allocates nothing but the
 * sender names.
 */
final class Envelope {
    static final byte DATA = 1;
    /**
     * A hello issues a token. Its body is that token, then the token and the sequence number of the envelope that it
     * answers.
     */
    static final byte HELLO = 2;

    static final int HELLO_BODY_BYTES = 3 * Long.BYTES;

    private static final int MAGIC = 0x45_53_01_00; // "ES", version 1, then a zero byte for the kind
    private static final int KIND_MASK = 0xff;
    private static final int KIND_OFFSET = 3;
    private static final int NAME_LENGTH_OFFSET = 4;
    private static final int NAME_OFFSET = 5;
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MIN_BYTES = Packet.envelopeBytes("");
    private static final int SIGNATURE_BYTES = SignedReport.SIGNATURE_BYTES;

    private byte[] bytes;
    private int length;
    private ByteBuffer body;
    private String sender;
    private int keyId;
    private long token;
    private long sequence;
    private long senderWallMs;

    // ---------------------------------------------------------------- writing

    /** Returns an envelope that is signed with this member's key. */
    static byte[] createSigned(
            byte kind, String sender, Keyring keyring, long token, long sequence, long wallMs, byte[] body) {
        byte[] name = sender.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer out = ByteBuffer.allocate(MIN_BYTES + name.length + body.length);
        out.putInt(MAGIC | kind);
        out.put((byte) name.length).put(name);
        out.putInt(keyring.keyId());
        out.putLong(token);
        out.putLong(sequence);
        out.putLong(wallMs);
        out.put(body);
        byte[] signed = Arrays.copyOf(out.array(), out.position());
        out.put(keyring.sign(signed));
        return out.array();
    }

    /** Returns the body of a hello; see {@link #HELLO}. */
    static byte[] helloBody(long offeredToken, long answeredToken, long answeredSequence) {
        return ByteBuffer.allocate(HELLO_BODY_BYTES)
                .putLong(offeredToken)
                .putLong(answeredToken)
                .putLong(answeredSequence)
                .array();
    }

    // ---------------------------------------------------------------- reading

    /**
     * Reads an envelope from the first {@code receivedLength} bytes. The array is used, not copied, until the next
     * call.
     *
     * @return false if the bytes are not in the format of an envelope
     */
    boolean read(byte[] received, int receivedLength) {
        bytes = received;
        length = receivedLength;
        if (length < MIN_BYTES + 1) {
            return false;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 0, length);
        int nameLength = bytes[NAME_LENGTH_OFFSET];
        boolean isNameLengthValid =
                nameLength >= 1 && nameLength <= MAX_NAME_LENGTH && length >= MIN_BYTES + nameLength;
        if ((in.getInt() & ~KIND_MASK) != MAGIC || !(isData() || isHello()) || !isNameLengthValid) {
            return false;
        }
        sender = new String(bytes, NAME_OFFSET, nameLength, StandardCharsets.US_ASCII);
        in.position(NAME_OFFSET + nameLength);
        keyId = in.getInt();
        token = in.getLong();
        sequence = in.getLong();
        senderWallMs = in.getLong();
        in.limit(length - SIGNATURE_BYTES);
        body = in;
        return true;
    }

    boolean isData() {
        return bytes[KIND_OFFSET] == DATA;
    }

    boolean isHello() {
        return bytes[KIND_OFFSET] == HELLO;
    }

    String sender() {
        return sender;
    }

    int keyId() {
        return keyId;
    }

    long token() {
        return token;
    }

    long sequence() {
        return sequence;
    }

    long senderWallMs() {
        return senderWallMs;
    }

    /** Returns a buffer whose position and limit enclose the body. */
    ByteBuffer body() {
        return body;
    }

    /** Returns a copy of the signature. */
    byte[] signature() {
        return Arrays.copyOfRange(bytes, length - SIGNATURE_BYTES, length);
    }

    /** Whether the signature was made with the private key that matches {@code key}. */
    boolean isSignedBy(PublicKey key) {
        return Ed25519.verify(key, bytes, length - SIGNATURE_BYTES, signature());
    }
}
