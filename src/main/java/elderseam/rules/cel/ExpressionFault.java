package elderseam.rules.cel;

/**
 * What is wrong with an expression, and where.
 *
 * @param line from 1, column from 1, in characters; source: that line
 */
public record ExpressionFault(int line, int column, String source, String words) {
    private static final int SHOWN = 120;

    static ExpressionFault at(String text, int offset, String words) {
        int from = text.lastIndexOf('\n', Math.max(0, offset - 1)) + 1, to = text.indexOf('\n', from);
        from = offset == 0 ? 0 : from;
        int line =
                1 + (int) text.substring(0, from).chars().filter(c -> c == '\n').count();
        return new ExpressionFault(
                line, offset - from + 1, text.substring(from, to < 0 ? text.length() : Math.max(from, to)), words);
    }

    /** The words, the line, and a caret under the place; of a long line the part around it. */
    public String shown() {
        int from = Math.max(0, Math.min(column - 1 - SHOWN / 2, source.length() - SHOWN)),
                to = Math.min(source.length(), from + SHOWN);
        return line + ":" + column + ": " + words + "\n  "
                + source.substring(from, to).replace('\t', ' ') + "\n  " + " ".repeat(Math.max(0, column - 1 - from))
                + "^";
    }
}
