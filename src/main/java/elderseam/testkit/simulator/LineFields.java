package elderseam.testkit.simulator;

/**
 * Reads the fields of one line from left to right. Fields are separated by single spaces; a field of {@code -} is an absent value.
 * Each reader takes the name of the field, for the message of the {@link WireException} that it throws on a missing or malformed one.
 */
final class LineFields {
    private static final char SEPARATOR = ' ';
    private static final String ABSENT = "-";
    private static final String TRUE = "1";
    private static final String FALSE = "0";

    private final String line;
    private final long lineNumber;

    /** Where the next field starts; one past the length once all fields are read. */
    private int position;

    LineFields(String line, long lineNumber) {
        this.line = line;
        this.lineNumber = lineNumber;
    }

    /** Creates, but does not throw, an exception that names this line. */
    WireException fault(String description) {
        return new WireException(lineNumber, description);
    }

    /** Reads the next field, which must be present and not empty. */
    String text(String fieldName) {
        if (isAtEnd()) {
            throw fault("missing " + fieldName);
        }
        int end = line.indexOf(SEPARATOR, position);
        if (end < 0) {
            end = line.length();
        }
        String field = line.substring(position, end);
        position = end + 1;
        if (field.isEmpty()) {
            throw fault("missing " + fieldName);
        }
        return field;
    }

    /** Reads all that is left of the line, separators included; empty if nothing is left. */
    String rest() {
        String remainder = isAtEnd() ? "" : line.substring(position);
        position = line.length() + 1;
        return remainder;
    }

    /** Reads the next field as an integer. */
    long number(String fieldName) {
        return parseNumber(text(fieldName), fieldName);
    }

    /** Reads the next field as an integer, or returns {@code defaultValue} if it is marked as absent. */
    long numberOr(String fieldName, long defaultValue) {
        String field = text(fieldName);
        return isAbsent(field) ? defaultValue : parseNumber(field, fieldName);
    }

    /** Parses a field that was read before as an integer. */
    long parseNumber(String field, String fieldName) {
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException e) {
            throw malformed(field, fieldName);
        }
    }

    /** Reads the next field as a finite decimal number. */
    double real(String fieldName) {
        return parseReal(text(fieldName), fieldName);
    }

    /** Parses text that was read before as a finite decimal number. */
    double parseReal(String field, String fieldName) {
        double value;
        try {
            value = Double.parseDouble(field);
        } catch (NumberFormatException e) {
            throw malformed(field, fieldName);
        }
        if (!Double.isFinite(value)) {
            throw malformed(field, fieldName);
        }
        return value;
    }

    /** Reads the next field as an integer from 0 (inclusive) to {@code limit} (exclusive). */
    int index(String fieldName, int limit) {
        long value = number(fieldName);
        if (value < 0 || value >= limit) {
            throw fault(fieldName + " " + value + " is out of range");
        }
        return (int) value;
    }

    /** Reads the next field as a boolean, written as 1 or 0. */
    boolean flag(String fieldName) {
        String field = text(fieldName);
        return switch (field) {
            case TRUE -> true;
            case FALSE -> false;
            default -> throw malformed(field, fieldName);
        };
    }

    /** Checks that no field is left. */
    void end() {
        if (!isAtEnd()) {
            throw fault("unexpected '" + line.substring(position) + "'");
        }
    }

    /** Whether a field that was read before is marked as absent. */
    static boolean isAbsent(String field) {
        return field.equals(ABSENT);
    }

    private boolean isAtEnd() {
        return position > line.length();
    }

    private WireException malformed(String field, String fieldName) {
        return fault("bad " + fieldName + " '" + field + "'");
    }
}
