package elderseam.rules;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * How a set of rules computes idempotency keys: all of its text that may decide which key a message gets, and a hash of
 * it as the name. Each key is recorded with the name of its scheme, so that keys of different rules never match. While
 * any key of a scheme is remembered, its rules are evaluated on each new message too, so that a duplicate is recognised
 * although the rules changed in between.
 *
 * @param text a rules file that can be read again, see {@link IdempotencyKeySchemeText}; the journal holds it
 */
public record IdempotencyKeyScheme(String name, String text) {
    /** Longest text of a scheme. */
    static final int MAX_TEXT_CHARS = 64 << 10;

    private static final int NAME_BYTES = 6;
    private static final int KEY_HASH_BYTES = 16;

    static IdempotencyKeyScheme of(String text) {
        return new IdempotencyKeyScheme(hash(text, NAME_BYTES), text);
    }

    /** What is recorded for a key: the scheme's name and a hash of the key. */
    String deduplicationKey(String key) {
        return name + ":" + hash(key, KEY_HASH_BYTES);
    }

    private static String hash(String text, int byteCount) {
        byte[] digest = sha256().digest(text.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest, 0, byteCount);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has to support SHA-256
        }
    }
}
