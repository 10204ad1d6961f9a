package elderseam.frontend.platform;

import java.util.OptionalDouble;

/** Parses numbers in the headers of responses. Stateless. */
final class FiniteNumber {
    private FiniteNumber() {}

    /** Returns the number in a text; empty if it is malformed or not finite. */
    static OptionalDouble parse(String text) {
        try {
            double number = Double.parseDouble(text);
            return Double.isFinite(number) ? OptionalDouble.of(number) : OptionalDouble.empty();
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }
}
