package elderseam.testkit.simulator;

/** The parts of one line, read from left to right. */
final class LineFields {
    private final String line;
    private final long lineNo;
    private int at;

    LineFields(String line, long lineNo) {
        this.line = line;
        this.lineNo = lineNo;
    }

    WireException fault(String words) {
        return new WireException("line " + lineNo + ": " + words);
    }

    /** The next part; it must be there. */
    String text(String what) {
        if (at > line.length()) {
            throw fault("missing " + what);
        }
        int end = line.indexOf(' ', at);
        if (end < 0) {
            end = line.length();
        }
        String part = line.substring(at, end);
        at = end + 1;
        if (part.isEmpty()) {
            throw fault("missing " + what);
        }
        return part;
    }

    /** All that is left of the line. */
    String rest() {
        String left = at > line.length() ? "" : line.substring(at);
        at = line.length() + 1;
        return left;
    }

    long number(String what) {
        return number(text(what), what);
    }

    long numberOr(String what, long absent) {
        String part = text(what);
        return part.equals("-") ? absent : number(part, what);
    }

    long number(String part, String what) {
        try {
            return Long.parseLong(part);
        } catch (NumberFormatException e) {
            throw fault("bad " + what + " '" + part + "'");
        }
    }

    double real(String what) {
        return real(text(what), what);
    }

    double real(String part, String what) {
        double value;
        try {
            value = Double.parseDouble(part);
        } catch (NumberFormatException e) {
            throw fault("bad " + what + " '" + part + "'");
        }
        if (!Double.isFinite(value)) {
            throw fault("bad " + what + " '" + part + "'");
        }
        return value;
    }

    /** A whole number from 0 to below {@code limit}. */
    int index(String what, int limit) {
        long value = number(what);
        if (value < 0 || value >= limit) {
            throw fault(what + " " + value + " is out of range");
        }
        return (int) value;
    }

    boolean flag(String what) {
        String part = text(what);
        if (part.equals("1") || part.equals("0")) {
            return part.equals("1");
        }
        throw fault("bad " + what + " '" + part + "'");
    }

    void end() {
        if (at <= line.length()) {
            throw fault("unexpected '" + line.substring(at) + "'");
        }
    }
}
