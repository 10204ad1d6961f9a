package elderseam.rules;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * How keys are told: the rules that yield them, and all that these stand on, as a text that can be read again. A key is recorded
 * with the name of its scheme, so that one of other rules is never taken for it; and while any is remembered, its scheme goes on
 * being asked about each message that comes, so that a change of the rules between two copies of a message does not part them.
 */
public record IdempotencyKeyScheme(String name, String text) {
    static final int MOST_TEXT = 64 << 10;

    static IdempotencyKeyScheme of(String text) {
        return new IdempotencyKeyScheme(hash(text, 6), text);
    }

    /** What is recorded for a key: neither its length nor what stands in it matters. */
    public String same(String key) {
        return name + ":" + hash(key, 16);
    }

    private static String hash(String text, int bytes) {
        try {
            return HexFormat.of()
                    .formatHex(
                            MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)),
                            0,
                            bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
