package elderseam.rules.cel;

/**
 * A token of an expression.
 *
 * @param value of a literal its decoded value, else the text of the token
 * @param position offset of its first character
 */
record Token(Kind kind, Object value, int position) {
    /** Kinds of tokens. Reserved words are names here; the parser tells them apart. */
    enum Kind {
        NAME,
        SYMBOL,
        LITERAL,
        END
    }

    boolean isSymbol(String symbol) {
        return kind == Kind.SYMBOL && value.equals(symbol);
    }

    /** The token as fault messages name it. */
    String describe() {
        return switch (kind) {
            case END -> "the end";
            case LITERAL -> "a literal";
            case NAME, SYMBOL -> "'" + value + "'";
        };
    }
}
