package elderseam.gossip.security;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.X509EncodedKeySpec;
import java.util.Arrays;
import java.util.Base64;

/** Keys and seals of Ed25519 (RFC 8032), by the JDK; public keys as 32 bytes in base64, as RFC 8410 holds them after 12 of DER. */
final class Ed25519 {
    private static final byte[] DER = {0x30, 0x2a, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x03, 0x21, 0x00};
    private static final int RAW = 32;

    private Ed25519() {}

    static byte[] sign(PrivateKey key, byte[] bytes) {
        try {
            Signature s = Signature.getInstance("Ed25519");
            s.initSign(key);
            s.update(bytes);
            return s.sign();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this JDK has no Ed25519", e);
        }
    }

    static boolean verify(PublicKey key, byte[] bytes, int length, byte[] seal) {
        try {
            Signature s = Signature.getInstance("Ed25519");
            s.initVerify(key);
            s.update(bytes, 0, length);
            return s.verify(seal);
        } catch (GeneralSecurityException e) { // a seal that can't even be read, RFC 8032, 5.1.7
            return false;
        }
    }

    /** A key of 43 or 44 characters of base64, or null. */
    static PublicKey read(String text) {
        try {
            byte[] raw = Base64.getDecoder().decode(text);
            if (raw.length != RAW) {
                return null;
            }
            byte[] der = Arrays.copyOf(DER, DER.length + RAW);
            System.arraycopy(raw, 0, der, DER.length, RAW);
            return KeyFactory.getInstance("Ed25519").generatePublic(new X509EncodedKeySpec(der));
        } catch (IllegalArgumentException | GeneralSecurityException e) {
            return null;
        }
    }

    static String text(PublicKey key) {
        byte[] der = key.getEncoded();
        return Base64.getEncoder()
                .withoutPadding()
                .encodeToString(Arrays.copyOfRange(der, der.length - RAW, der.length));
    }

    /** Four bytes by which a member's key is told from its other one; no proof of anything. */
    static int number(PublicKey key) {
        return Arrays.hashCode(key.getEncoded());
    }
}
