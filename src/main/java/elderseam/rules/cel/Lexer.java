package elderseam.rules.cel;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Text to tokens, by the lexis of the CEL specification ("Syntax"): numbers, strings plain, raw, of bytes, of three quotes. */
final class Lexer {
    private static final List<String> SIGNS = List.of(
            "==", "!=", "<=", ">=", "&&", "||", "<", ">", "+", "-", "*", "/", "%", "!", "?", ":", ".", ",", "(", ")",
            "[", "]", "{", "}");

    private final String text;
    private int at;

    private Lexer(String text) {
        this.text = text;
    }

    static List<Token> tokens(String text) throws ExpressionException {
        Lexer l = new Lexer(text);
        List<Token> all = new ArrayList<>();
        do {
            all.add(l.next());
        } while (all.get(all.size() - 1).kind() != Token.Kind.END);
        return all;
    }

    private ExpressionException fault(int offset, String words) {
        return new ExpressionException(ExpressionFault.at(text, offset, words));
    }

    private char peek(int ahead) {
        return at + ahead < text.length() ? text.charAt(at + ahead) : '\0';
    }

    private Token next() throws ExpressionException {
        while (at < text.length() && (" \t\n\r\f".indexOf(peek(0)) >= 0 || (peek(0) == '/' && peek(1) == '/'))) {
            int end = text.indexOf('\n', at);
            at = peek(0) != '/' ? at + 1 : end < 0 ? text.length() : end;
        }
        if (at >= text.length()) {
            return new Token(Token.Kind.END, "", text.length());
        }
        int from = at;
        char c = peek(0);
        if (isDigit(c) || (c == '.' && isDigit(peek(1)))) {
            return new Token(Token.Kind.LITERAL, number(), from);
        }
        int prefix = prefix();
        if (prefix >= 0) {
            return new Token(Token.Kind.LITERAL, string(prefix), from);
        }
        if (isLetter(c)) {
            while (isLetter(peek(0)) || isDigit(peek(0))) {
                at++;
            }
            return new Token(Token.Kind.NAME, text.substring(from, at), from);
        }
        for (String s : SIGNS) {
            if (text.startsWith(s, at)) {
                at += s.length();
                return new Token(Token.Kind.SIGN, s, from);
            }
        }
        throw fault(at, "a character that begins nothing");
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    private static boolean isLetter(char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
    }

    private Object number() throws ExpressionException {
        int from = at;
        boolean hex = peek(0) == '0' && (peek(1) == 'x' || peek(1) == 'X');
        at += hex ? 2 : 0;
        while (hex ? Character.digit(peek(0), 16) >= 0 && peek(0) < 128 : isDigit(peek(0))) {
            at++;
        }
        boolean whole = true;
        if (!hex && peek(0) == '.' && isDigit(peek(1))) {
            whole = false;
            at++;
            while (isDigit(peek(0))) {
                at++;
            }
        }
        if (!hex && (peek(0) == 'e' || peek(0) == 'E')) {
            whole = false;
            at += peek(1) == '+' || peek(1) == '-' ? 2 : 1;
            if (!isDigit(peek(0))) {
                throw fault(at, "an exponent has digits");
            }
            while (isDigit(peek(0))) {
                at++;
            }
        }
        String digits = text.substring(hex ? from + 2 : from, at);
        try {
            if (!whole) {
                return Double.parseDouble(digits);
            }
            if (peek(0) == 'u' || peek(0) == 'U') {
                at++;
                return new UnsignedLong(Long.parseUnsignedLong(digits, hex ? 16 : 10));
            }
            // the least int is written as a negation: its digits alone are one too many
            return hex || !digits.equals("9223372036854775808")
                    ? (Object) Long.parseLong(digits, hex ? 16 : 10)
                    : TOO_LARGE_BY_ONE;
        } catch (NumberFormatException e) {
            throw fault(from, "a number that 64 bits do not hold");
        }
    }

    /** 2 to the 63rd, which only a negation makes an int. */
    static final Object TOO_LARGE_BY_ONE = new Object();

    /** How many letters stand before the quotes of a string that begins here; -1: none does. */
    private int prefix() {
        int n = 0;
        while (n < 2 && "rRbB".indexOf(peek(n)) >= 0 && peek(n) != '\0') {
            n++;
        }
        boolean twice = n == 2 && Character.toLowerCase(peek(0)) == Character.toLowerCase(peek(1));
        return !twice && (peek(n) == '"' || peek(n) == '\'') ? n : -1;
    }

    private Object string(int prefix) throws ExpressionException {
        int from = at;
        String letters = text.substring(at, at + prefix).toLowerCase(Locale.ROOT);
        at += prefix;
        boolean raw = letters.contains("r"), bytes = letters.contains("b");
        String quote = text.startsWith("\"\"\"", at) || text.startsWith("'''", at)
                ? text.substring(at, at + 3)
                : text.substring(at, at + 1);
        at += quote.length();
        StringBuilder s = new StringBuilder();
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        while (!text.startsWith(quote, at)) {
            if (at >= text.length() || (quote.length() == 1 && (peek(0) == '\n' || peek(0) == '\r'))) {
                throw fault(from, "a string without an end");
            }
            if (peek(0) == '\\' && !raw) {
                escape(bytes, s, b);
            } else {
                int c = text.codePointAt(at);
                at += Character.charCount(c);
                s.appendCodePoint(c);
                b.writeBytes(Character.toString(c).getBytes(StandardCharsets.UTF_8));
            }
        }
        at += quote.length();
        return bytes ? new ByteSequence(b.toByteArray()) : s.toString();
    }

    private void escape(boolean bytes, StringBuilder s, ByteArrayOutputStream b) throws ExpressionException {
        int from = at++;
        char c = peek(0);
        at++;
        int plain = "abfnrtv\\?\"'`".indexOf(c);
        int code;
        if (c != '\0' && plain >= 0) {
            code = "\u0007\b\f\n\r\t\u000b\\?\"'`".charAt(plain);
        } else if (c == 'x' || c == 'X') {
            code = digits(2, 16, from);
        } else if (c == 'u' && !bytes) {
            code = digits(4, 16, from);
        } else if (c == 'U' && !bytes) {
            code = digits(8, 16, from);
        } else if (c >= '0' && c <= '3') {
            at--;
            code = digits(3, 8, from);
        } else {
            throw fault(from, "an escape that is none");
        }
        if (!Character.isValidCodePoint(code) || (code >= 0xd800 && code <= 0xdfff)) {
            throw fault(from, "an escape of no character");
        }
        s.appendCodePoint(code);
        if (bytes && (c == 'x' || c == 'X' || isDigit(c))) {
            b.write(code); // an octet, not a character
        } else {
            b.writeBytes(Character.toString(code).getBytes(StandardCharsets.UTF_8));
        }
    }

    private int digits(int count, int radix, int from) throws ExpressionException {
        int value = 0;
        for (int i = 0; i < count; i++, at++) {
            int d = peek(0) < 128 ? Character.digit(peek(0), radix) : -1;
            if (d < 0 || value >= 1 << 26) {
                throw fault(from, "an escape that is cut short");
            }
            value = value * radix + d;
        }
        return value;
    }
}
