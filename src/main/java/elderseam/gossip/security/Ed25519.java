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

/** Ed25519 (RFC 8032) by the JDK. A public key's text is its 32 bytes in base64, without the DER around them. */
final class Ed25519 {
    static final String ALGORITHM = "Ed25519";

    /** What precedes the 32 bytes in a DER-encoded public key (RFC 8410, section 4). */
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
            throw new IllegalStateException("this JDK has no Ed25519", e);
        }
    }

    /** Whether the key made the signature over the first {@code length} bytes. */
    static boolean verify(PublicKey key, byte[] bytes, int length, byte[] signed) {
        try {
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initVerify(key);
            signature.update(bytes, 0, length);
            return signature.verify(signed);
        } catch (GeneralSecurityException e) { // a signature that can't be decoded (RFC 8032, section 5.1.7)
            return false;
        }
    }

    /** Parses a public key's text; empty if it is none. */
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

    /** Returns a public key's text. */
    static String text(PublicKey key) {
        byte[] der = key.getEncoded();
        byte[] raw = Arrays.copyOfRange(der, der.length - RAW_KEY_BYTES, der.length);
        return Base64.getEncoder().withoutPadding().encodeToString(raw);
    }

    /** Returns an id that tells a member's keys apart. It proves nothing. */
    static int keyId(PublicKey key) {
        return Arrays.hashCode(key.getEncoded());
    }
}
