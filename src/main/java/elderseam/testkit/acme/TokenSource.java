package elderseam.testkit.acme;

import java.security.SecureRandom;
import java.util.Base64;

/** Random tokens of 128 bits in base64url, for nonces and challenges (RFC 8555, sections 6.5.1 and 8.1). */
final class TokenSource {
    private static final int BYTES = 16;

    private final SecureRandom random = new SecureRandom();

    /** A new token. */
    String next() {
        byte[] bytes = new byte[BYTES];
        random.nextBytes(bytes);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }
}
