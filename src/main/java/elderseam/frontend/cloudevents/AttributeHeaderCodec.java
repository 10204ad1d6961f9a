package elderseam.frontend.cloudevents;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Attribute values as HTTP header values (CloudEvents 1.0.2, HTTP Protocol Binding, section 3.1.3.2). Outgoing: a space,
 * a double quote, a percent sign and all outside U+0021 to U+007E are percent-encoded, as the octets of their UTF-8.
 * Incoming: a double-quoted value is unescaped (RFC 7230, section 3.2.6), then percent-decoded once; octets that are no
 * UTF-8, and characters that an attribute may not hold, are rejected. Thread-safe.
 */
final class AttributeHeaderCodec {
    /** Begins the name of each attribute's header, in any case. */
    static final String HEADER_PREFIX = "ce-";

    private static final String HEX_DIGITS = "0123456789ABCDEF";
    private static final int HEX_RADIX = 16;

    /** Room for a few percent-encoded octets. */
    private static final int ENCODING_RESERVE_CHARS = 16;

    private AttributeHeaderCodec() {}

    /** Whether a header of that name holds an attribute. */
    static boolean isAttributeHeader(String name) {
        return name.regionMatches(true, 0, HEADER_PREFIX, 0, HEADER_PREFIX.length());
    }

    /** Encodes a value that has no {@link #illegalCharacter}. */
    static String encode(String value) {
        StringBuilder header = new StringBuilder(value.length() + ENCODING_RESERVE_CHARS);
        for (int i = 0; i < value.length(); ) {
            int character = value.codePointAt(i); // a surrogate pair is one character
            i += Character.charCount(character);
            if (character > ' ' && character <= '~' && character != '"' && character != '%') {
                header.append((char) character);
            } else {
                appendPercentEncoded(character, header);
            }
        }
        return header.toString();
    }

    private static void appendPercentEncoded(int character, StringBuilder header) {
        for (byte octet : Character.toString(character).getBytes(StandardCharsets.UTF_8)) {
            header.append('%').append(HEX_DIGITS.charAt(octet >> 4 & 0xf)).append(HEX_DIGITS.charAt(octet & 0xf));
        }
    }

    /**
     * Decodes a header's value as received, a character for each octet.
     *
     * @throws InvalidEventException if the value is malformed, or holds what an attribute may not hold
     */
    static String decode(String header) throws InvalidEventException {
        ByteBuffer octets = percentDecode(unquote(header.strip()));
        String value;
        try {
            value = StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .decode(octets)
                    .toString();
        } catch (CharacterCodingException e) {
            throw InvalidEventException.malformed("percent-encoded octets that are no UTF-8");
        }
        Optional<String> illegal = illegalCharacter(value);
        if (illegal.isPresent()) {
            throw InvalidEventException.malformed(illegal.get());
        }
        return value;
    }

    private static ByteBuffer percentDecode(String text) throws InvalidEventException {
        ByteBuffer octets = ByteBuffer.allocate(text.length());
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character == '%') {
                octets.put(percentDecodedOctet(text, i));
                i += 2;
            } else if (character < ' ' || character > '~') {
                throw InvalidEventException.malformed("an octet outside printable ASCII that is not percent-encoded");
            } else {
                octets.put((byte) character);
            }
        }
        return octets.flip();
    }

    private static byte percentDecodedOctet(String text, int percentSign) throws InvalidEventException {
        if (percentSign + 2 < text.length()) {
            int high = Character.digit(text.charAt(percentSign + 1), HEX_RADIX);
            int low = Character.digit(text.charAt(percentSign + 2), HEX_RADIX);
            if (high >= 0 && low >= 0) {
                return (byte) (high << 4 | low);
            }
        }
        throw InvalidEventException.malformed("a % that begins no percent-encoded octet");
    }

    private static String unquote(String text) throws InvalidEventException {
        if (text.length() < 2 || text.charAt(0) != '"' || text.charAt(text.length() - 1) != '"') {
            return text;
        }
        int closingQuote = text.length() - 1;
        StringBuilder unquoted = new StringBuilder(text.length());
        for (int i = 1; i < closingQuote; i++) {
            if (text.charAt(i) == '\\') {
                i++;
                if (i == closingQuote) {
                    throw InvalidEventException.malformed("a quoted value that does not end");
                }
            }
            unquoted.append(text.charAt(i));
        }
        return unquoted.toString();
    }

    /** Why an attribute may not hold that value (CloudEvents 1.0.2, Type System); empty where it may. */
    static Optional<String> illegalCharacter(String value) {
        for (int i = 0; i < value.length(); ) {
            int character = value.codePointAt(i);
            i += Character.charCount(character);
            if (Character.isISOControl(character)) {
                return Optional.of("a control character, U+" + String.format("%04X", character));
            }
            if (character >= Character.MIN_SURROGATE && character <= Character.MAX_SURROGATE) {
                return Optional.of("half a surrogate pair");
            }
            if (isNoncharacter(character)) {
                return Optional.of("a noncharacter, U+" + String.format("%04X", character));
            }
        }
        return Optional.empty();
    }

    /** Whether Unicode reserves the code point for internal use: U+FDD0 to U+FDEF, and the last two of each plane. */
    private static boolean isNoncharacter(int codePoint) {
        return (codePoint >= 0xfdd0 && codePoint <= 0xfdef) || (codePoint & 0xfffe) == 0xfffe;
    }
}
