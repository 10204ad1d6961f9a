package elderseam.rules.cel;

/**
 * A fault of an expression, and where it is.
 *
 * @param line from 1
 * @param column from 1, in UTF-16 code units
 * @param source the text of that line
 * @param message what is wrong, as operators read it
 */
public record ExpressionFault(int line, int column, String source, String message) {
    private static final int MAX_SHOWN_CHARS = 120;

    static ExpressionFault at(String text, int offset, String message) {
        int lineStart = offset == 0 ? 0 : text.lastIndexOf('\n', offset - 1) + 1;
        int lineEnd = text.indexOf('\n', lineStart);
        String source = lineEnd < 0 ? text.substring(lineStart) : text.substring(lineStart, lineEnd);
        int line = 1;
        for (int i = 0; i < lineStart; i++) {
            line += text.charAt(i) == '\n' ? 1 : 0;
        }
        return new ExpressionFault(line, offset - lineStart + 1, source, message);
    }

    /** The place and the message, the line, and a caret under the place; of a long line the part around it. */
    public String describe() {
        int from = Math.max(0, Math.min(column - 1 - MAX_SHOWN_CHARS / 2, source.length() - MAX_SHOWN_CHARS));
        int to = Math.min(source.length(), from + MAX_SHOWN_CHARS);
        String shown = source.substring(from, to).replace('\t', ' ');
        String indent = " ".repeat(Math.max(0, column - 1 - from));
        return line + ":" + column + ": " + message + "\n  " + shown + "\n  " + indent + "^";
    }
}
