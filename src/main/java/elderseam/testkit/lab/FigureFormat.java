package elderseam.testkit.lab;

import java.util.Locale;

/** How figures are written in JSON and reports. */
final class FigureFormat {
    /** Above it a double no longer holds every integer, and is written with its decimals. */
    private static final double MAX_INTEGER = 1e15;

    private FigureFormat() {}

    /** Formats an integer without a decimal point, and anything else with six decimals. */
    static String format(double value) {
        boolean isInteger = value == Math.rint(value) && Math.abs(value) < MAX_INTEGER;
        return isInteger ? Long.toString((long) value) : String.format(Locale.ROOT, "%.6f", value);
    }
}
