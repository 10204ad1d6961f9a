package elderseam.frontend.cloudevents;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/**
 * Attribute values as HTTP header values (CloudEvents 1.0.2, HTTP Protocol Binding, section 3.1.3.2). Out: a space, a
 * double quote, a percent sign and all outside U+0021 to U+007E leave as the percent-encoded octets of their UTF-8; all
 * else as it is. In: a double-quoted value is unescaped (RFC 7230, section 3.2.6), then percent-decoded once; octets
 * that are no UTF-8, and characters that an attribute may not hold, are refused.
 */
final class AttributeHeaderCodec {
    private static final String HEX = "0123456789ABCDEF";

    private AttributeHeaderCodec() {}

    /** {@code value} must be a legal attribute value, as {@link #illegal} tells. */
    static String encode(String value) {
        StringBuilder out = new StringBuilder(value.length() + 16);
        for (int i = 0; i < value.length(); ) {
            int c = value.codePointAt(i); // a surrogate pair is one character
            i += Character.charCount(c);
            if (c > 0x20 && c < 0x7f && c != '"' && c != '%') {
                out.append((char) c);
                continue;
            }
            for (byte b : Character.toString(c).getBytes(StandardCharsets.UTF_8)) {
                out.append('%').append(HEX.charAt(b >> 4 & 15)).append(HEX.charAt(b & 15));
            }
        }
        return out.toString();
    }

    /** The value of a header as it came, a character for each octet; IllegalArgumentException says what is wrong. */
    static String decode(String header) {
        String raw = unquoted(header.strip());
        byte[] octets = new byte[raw.length()];
        int n = 0;
        for (int i = 0; i < raw.length(); i++) {
            char c = raw.charAt(i);
            if (c == '%') {
                int high = i + 2 < raw.length() ? Character.digit(raw.charAt(i + 1), 16) : -1;
                int low = high < 0 ? -1 : Character.digit(raw.charAt(i + 2), 16);
                if (low < 0) {
                    throw new IllegalArgumentException("a % that begins no percent-encoded octet");
                }
                octets[n++] = (byte) (high << 4 | low);
                i += 2;
            } else if (c > 0x7e || c < 0x20) {
                throw new IllegalArgumentException("an octet outside printable ASCII that is not percent-encoded");
            } else {
                octets[n++] = (byte) c;
            }
        }
        String value;
        try {
            value = StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .decode(ByteBuffer.wrap(octets, 0, n))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new IllegalArgumentException("percent-encoded octets that are no UTF-8");
        }
        String fault = illegal(value);
        if (!fault.isEmpty()) {
            throw new IllegalArgumentException(fault);
        }
        return value;
    }

    private static String unquoted(String text) {
        if (text.length() < 2 || text.charAt(0) != '"' || text.charAt(text.length() - 1) != '"') {
            return text;
        }
        StringBuilder out = new StringBuilder(text.length());
        for (int i = 1; i < text.length() - 1; i++) {
            char c = text.charAt(i);
            if (c == '\\') {
                if (++i == text.length() - 1) {
                    throw new IllegalArgumentException("a quoted value that does not end");
                }
                c = text.charAt(i);
            }
            out.append(c);
        }
        return out.toString();
    }

    /** Why an attribute may not hold that string (CloudEvents 1.0.2, Type System), or nothing. */
    static String illegal(String value) {
        for (int i = 0; i < value.length(); ) {
            int c = value.codePointAt(i);
            i += Character.charCount(c);
            if (c < 0x20 || (c >= 0x7f && c <= 0x9f)) {
                return "a control character, U+" + String.format("%04X", c);
            }
            if (c >= 0xd800 && c <= 0xdfff) {
                return "half a surrogate pair";
            }
            if ((c >= 0xfdd0 && c <= 0xfdef) || (c & 0xfffe) == 0xfffe) {
                return "a noncharacter, U+" + String.format("%04X", c);
            }
        }
        return "";
    }
}
