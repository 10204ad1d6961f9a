package elderseam.gossip.security;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.X509EncodedKeySpec;
import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;

/**
 * Ed25519 signatures (RFC 8032), as implemented by the JDK. The text form of a public key is the base64 encoding of its
 * 32 bytes, without the DER wrapping.
 */
final class Ed25519 {
    static final String ALGORITHM = "Ed25519";

    /** The bytes before the 32 key bytes in a DER-encoded public key (RFC 8410, section 4). */
    private static final byte[] DER_PREFIX = {0x30, 0x2a, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x03, 0x21, 0x00};

    private static final int RAW_KEY_BYTES = 32;

    private Ed25519() {}

    static byte[] sign(PrivateKey key, byte[] bytes) {
        try {
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initSign(key);
            signature.update(bytes);
            return signature.sign();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this JDK does not support Ed25519", e);
        }
    }

    /**
     * Whether the signature over the first {@code length} bytes was made with the private key that matches {@code key}.
     */
    static boolean verify(PublicKey key, byte[] bytes, int length, byte[] signatureBytes) {
        try {
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initVerify(key);
            signature.update(bytes, 0, length);
            return signature.verify(signatureBytes);
        } catch (GeneralSecurityException e) { // the signature can't be decoded (RFC 8032, section 5.1.7)
            return false;
        }
    }

    /** Parses the text form of a public key; empty if the text is not a valid key. */
    static Optional<PublicKey> parsePublicKey(String text) {
        try {
            byte[] raw = Base64.getDecoder().decode(text);
            if (raw.length != RAW_KEY_BYTES) {
                return Optional.empty();
            }
            byte[] der = Arrays.copyOf(DER_PREFIX, DER_PREFIX.length + RAW_KEY_BYTES);
            System.arraycopy(raw, 0, der, DER_PREFIX.length, RAW_KEY_BYTES);
            return Optional.of(KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(der)));
        } catch (IllegalArgumentException | GeneralSecurityException e) {
            return Optional.empty();
        }
    }

    /** Returns the text form of a public key. */
    static String formatPublicKey(PublicKey key) {
        byte[] der = key.getEncoded();
        byte[] raw = Arrays.copyOfRange(der, der.length - RAW_KEY_BYTES, der.length);
        return Base64.getEncoder().withoutPadding().encodeToString(raw);
    }

    /** Returns an id that distinguishes the keys of one member. It is a plain hash and gives no security. */
    static int keyId(PublicKey key) {
        return Arrays.hashCode(key.getEncoded());
    }
}
