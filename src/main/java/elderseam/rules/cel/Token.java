package elderseam.rules.cel;

/**
 * One token. {@code value}: of a literal, decoded; the text of a name or a sign.
 *
 * @param at offset of its first character
 */
record Token(Kind kind, Object value, int at) {
    enum Kind {
        NAME,
        SIGN,
        LITERAL,
        END
    }

    boolean is(String sign) {
        return kind == Kind.SIGN && value.equals(sign);
    }

    /** How a fault names it. */
    String words() {
        return kind == Kind.END ? "the end" : kind == Kind.LITERAL ? "a literal" : "'" + value + "'";
    }
}
