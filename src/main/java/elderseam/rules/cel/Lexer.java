package elderseam.rules.cel;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalInt;

/** Turns text into tokens, by the lexical rules of the CEL specification ("Syntax"). */
final class Lexer {
    /** The value of the literal 2<sup>63</sup>, which is an int only when it is negated. */
    static final Object MIN_INT_MAGNITUDE = new Object();

    private static final String MIN_INT_DIGITS = "9223372036854775808";
    /** Longer ones first, so that none is taken for the beginning of another. */
    private static final List<String> SYMBOLS = List.of(
            "==", "!=", "<=", ">=", "&&", "||", "<", ">", "+", "-", "*", "/", "%", "!", "?", ":", ".", ",", "(", ")",
            "[", "]", "{", "}");

    private static final String WHITESPACE = " \t\n\r\f";
    private static final String STRING_PREFIXES = "rRbB";
    /** Letters of the escapes of one letter, and at the same index what they stand for. */
    private static final String ESCAPE_LETTERS = "abfnrtv\\?\"'`";

    private static final String ESCAPED_CHARACTERS = "\u0007\b\f\n\r\t\u000b\\?\"'`";
    private static final char END_OF_TEXT = '\0';
    private static final int ASCII_LIMIT = 128;
    /** An escape's value at which a further digit might overflow; above all code points. */
    private static final int MAX_ESCAPE_PREFIX = 1 << 26;

    private final String text;
    private int position;

    private Lexer(String text) {
        this.text = text;
    }

    /** The tokens of a text; the last is of the kind END. */
    static List<Token> tokens(String text) throws ExpressionException {
        Lexer lexer = new Lexer(text);
        List<Token> tokens = new ArrayList<>();
        Token token;
        do {
            token = lexer.next();
            tokens.add(token);
        } while (token.kind() != Token.Kind.END);
        return tokens;
    }

    private ExpressionException fault(int offset, String message) {
        return new ExpressionException(ExpressionFault.at(text, offset, message));
    }

    /** The character so far ahead of the position; {@link #END_OF_TEXT} behind the last. */
    private char peek(int ahead) {
        return position + ahead < text.length() ? text.charAt(position + ahead) : END_OF_TEXT;
    }

    private char peek() {
        return peek(0);
    }

    private Token next() throws ExpressionException {
        skipWhitespaceAndComments();
        if (position >= text.length()) {
            return new Token(Token.Kind.END, "", text.length());
        }
        int start = position;
        if (isDigit(peek()) || (peek() == '.' && isDigit(peek(1)))) {
            return new Token(Token.Kind.LITERAL, number(), start);
        }
        OptionalInt prefixLength = stringPrefixLength();
        if (prefixLength.isPresent()) {
            return new Token(Token.Kind.LITERAL, string(prefixLength.getAsInt()), start);
        }
        if (isLetter(peek())) {
            while (isLetter(peek()) || isDigit(peek())) {
                position++;
            }
            return new Token(Token.Kind.NAME, text.substring(start, position), start);
        }
        for (String symbol : SYMBOLS) {
            if (text.startsWith(symbol, position)) {
                position += symbol.length();
                return new Token(Token.Kind.SYMBOL, symbol, start);
            }
        }
        throw fault(position, "a character that begins nothing");
    }

    private void skipWhitespaceAndComments() {
        while (position < text.length()) {
            if (WHITESPACE.indexOf(peek()) >= 0) {
                position++;
            } else if (peek() == '/' && peek(1) == '/') {
                int lineEnd = text.indexOf('\n', position);
                position = lineEnd < 0 ? text.length() : lineEnd;
            } else {
                return;
            }
        }
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    private static boolean isLetter(char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || character == '_';
    }

    private static boolean isHexDigit(char character) {
        return character < ASCII_LIMIT && Character.digit(character, 16) >= 0;
    }

    // ---------------------------------------------------------------- numbers

    private Object number() throws ExpressionException {
        if (peek() == '0' && (peek(1) == 'x' || peek(1) == 'X')) {
            return hexNumber();
        }
        int start = position;
        skipDigits();
        boolean isDouble = skipFraction();
        isDouble |= skipExponent();
        String digits = text.substring(start, position);
        if (isDouble) {
            return Double.parseDouble(digits);
        }
        // the least int is written as a negation: its digits alone are one too many
        return digits.equals(MIN_INT_DIGITS) && !isUnsignedSuffix() ? MIN_INT_MAGNITUDE : integer(digits, 10, start);
    }

    private Object hexNumber() throws ExpressionException {
        int start = position;
        position += 2;
        while (isHexDigit(peek())) {
            position++;
        }
        return integer(text.substring(start + 2, position), 16, start);
    }

    private void skipDigits() {
        while (isDigit(peek())) {
            position++;
        }
    }

    private boolean skipFraction() {
        if (peek() != '.' || !isDigit(peek(1))) {
            return false;
        }
        position++;
        skipDigits();
        return true;
    }

    private boolean skipExponent() throws ExpressionException {
        if (peek() != 'e' && peek() != 'E') {
            return false;
        }
        position += peek(1) == '+' || peek(1) == '-' ? 2 : 1;
        if (!isDigit(peek())) {
            throw fault(position, "an exponent has digits");
        }
        skipDigits();
        return true;
    }

    private boolean isUnsignedSuffix() {
        return peek() == 'u' || peek() == 'U';
    }

    private Object integer(String digits, int radix, int start) throws ExpressionException {
        try {
            if (isUnsignedSuffix()) {
                position++;
                return new UnsignedLong(Long.parseUnsignedLong(digits, radix));
            }
            return Long.parseLong(digits, radix);
        } catch (NumberFormatException e) {
            throw fault(start, "a number that 64 bits do not hold");
        }
    }

    // ---------------------------------------------------------------- strings and bytes

    /** How many prefix letters stand before the quote of a string that begins here; empty where none does. */
    private OptionalInt stringPrefixLength() {
        int length = 0;
        while (length < 2 && STRING_PREFIXES.indexOf(peek(length)) >= 0) {
            length++;
        }
        boolean isSameLetterTwice = length == 2 && Character.toLowerCase(peek(0)) == Character.toLowerCase(peek(1));
        boolean isQuote = peek(length) == '"' || peek(length) == '\'';
        return isQuote && !isSameLetterTwice ? OptionalInt.of(length) : OptionalInt.empty();
    }

    private Object string(int prefixLength) throws ExpressionException {
        int start = position;
        String prefix = text.substring(position, position + prefixLength).toLowerCase(Locale.ROOT);
        position += prefixLength;
        boolean isRaw = prefix.contains("r");
        boolean isBytes = prefix.contains("b");
        String quote = quote();
        position += quote.length();
        StringBuilder characters = new StringBuilder();
        ByteArrayOutputStream octets = new ByteArrayOutputStream();
        while (!text.startsWith(quote, position)) {
            boolean isLineEnd = peek() == '\n' || peek() == '\r';
            if (position >= text.length() || (quote.length() == 1 && isLineEnd)) {
                throw fault(start, "a string without an end");
            }
            if (peek() == '\\' && !isRaw) {
                escape(isBytes, characters, octets);
            } else {
                int codePoint = text.codePointAt(position);
                position += Character.charCount(codePoint);
                characters.appendCodePoint(codePoint);
                octets.writeBytes(utf8(codePoint));
            }
        }
        position += quote.length();
        return isBytes ? new ByteSequence(octets.toByteArray()) : characters.toString();
    }

    /** The quote that begins here, of one character or three. */
    private String quote() {
        boolean isTriple = text.startsWith("\"\"\"", position) || text.startsWith("'''", position);
        return text.substring(position, position + (isTriple ? 3 : 1));
    }

    private void escape(boolean isBytes, StringBuilder characters, ByteArrayOutputStream octets)
            throws ExpressionException {
        int start = position;
        char letter = peek(1);
        position += 2;
        int codePoint = escapedCodePoint(letter, isBytes, start);
        boolean isSurrogate = codePoint >= Character.MIN_SURROGATE && codePoint <= Character.MAX_SURROGATE;
        if (!Character.isValidCodePoint(codePoint) || isSurrogate) {
            throw fault(start, "an escape of no character");
        }
        characters.appendCodePoint(codePoint);
        boolean isOctet = letter == 'x' || letter == 'X' || isDigit(letter);
        if (isBytes && isOctet) {
            octets.write(codePoint);
        } else {
            octets.writeBytes(utf8(codePoint));
        }
    }

    private int escapedCodePoint(char letter, boolean isBytes, int start) throws ExpressionException {
        int index = ESCAPE_LETTERS.indexOf(letter);
        if (index >= 0) {
            return ESCAPED_CHARACTERS.charAt(index);
        }
        if (letter == 'x' || letter == 'X') {
            return escapeDigits(2, 16, start);
        }
        if (letter == 'u' && !isBytes) {
            return escapeDigits(4, 16, start);
        }
        if (letter == 'U' && !isBytes) {
            return escapeDigits(8, 16, start);
        }
        if (letter >= '0' && letter <= '3') {
            position--; // it is the first of the digits
            return escapeDigits(3, 8, start);
        }
        throw fault(start, "an escape that is none");
    }

    private int escapeDigits(int count, int radix, int start) throws ExpressionException {
        int value = 0;
        for (int i = 0; i < count; i++) {
            int digit = peek() < ASCII_LIMIT ? Character.digit(peek(), radix) : -1;
            if (digit < 0 || value >= MAX_ESCAPE_PREFIX) {
                throw fault(start, "an escape that is cut short");
            }
            value = value * radix + digit;
            position++;
        }
        return value;
    }

    private static byte[] utf8(int codePoint) {
        return Character.toString(codePoint).getBytes(StandardCharsets.UTF_8);
    }
}
