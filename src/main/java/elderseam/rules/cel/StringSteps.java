package elderseam.rules.cel;

import com.google.re2j.Pattern;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Steps of strings. They allocate nothing but the strings that they concatenate. */
final class StringSteps {
    private static final int CHARS_PER_UNIT = ValueSize.CHARS_PER_UNIT;
    /** See {@link CostModel}: how many looks of a pattern's state at a character cost one unit. */
    private static final int PATTERN_STATES_PER_UNIT = CostModel.PATTERN_STATES_PER_UNIT;

    private StringSteps() {}

    /** The string that a step gives; null if it failed, or gave something else, which fails the evaluation. */
    private static String text(EvaluationInputs inputs, ValueStep step) {
        Object value = step.evaluate(inputs);
        if (value instanceof String string) {
            return string;
        }
        inputs.fail(EvaluationError.NO_SUCH_OVERLOAD); // which keeps an earlier error
        return null;
    }

    static BoolStep startsWith(ValueStep receiver, ValueStep argument) {
        return inputs -> {
            String text = text(inputs, receiver);
            String prefix = text == null ? null : text(inputs, argument);
            return prefix != null && inputs.charge(2 + prefix.length() / CHARS_PER_UNIT) && text.startsWith(prefix);
        };
    }

    static BoolStep endsWith(ValueStep receiver, ValueStep argument) {
        return inputs -> {
            String text = text(inputs, receiver);
            String suffix = text == null ? null : text(inputs, argument);
            return suffix != null && inputs.charge(2 + suffix.length() / CHARS_PER_UNIT) && text.endsWith(suffix);
        };
    }

    static BoolStep contains(ValueStep receiver, ValueStep argument) {
        return inputs -> {
            String text = text(inputs, receiver);
            String part = text == null ? null : text(inputs, argument);
            if (part == null) {
                return false;
            }
            long comparisons = (long) text.length() * part.length();
            long cost = 2 + text.length() / CHARS_PER_UNIT + comparisons / CHARS_PER_UNIT;
            return inputs.charge(cost) && text.contains(part);
        };
    }

    static BoolStep matches(ValueStep receiver, Pattern pattern) {
        int patternLength = pattern.pattern().length();
        return inputs -> {
            String text = text(inputs, receiver);
            return text != null
                    && inputs.charge(1 + (1L + text.length()) * (1 + patternLength) / PATTERN_STATES_PER_UNIT)
                    && pattern.matcher(text).find();
        };
    }

    /** {@code item in list}, of a constant list. One of strings alone is looked up by hash. */
    static BoolStep in(ValueStep item, List<?> list) {
        if (!list.stream().allMatch(String.class::isInstance)) {
            return inputs -> {
                Object value = item.evaluate(inputs);
                return inputs.error == null && isIn(inputs, value, list);
            };
        }
        Set<Object> strings = new HashSet<>(list);
        return inputs -> {
            String text = text(inputs, item);
            return text != null
                    && !strings.isEmpty()
                    && inputs.charge(2 + text.length() / CHARS_PER_UNIT)
                    && strings.contains(text);
        };
    }

    private static boolean isIn(EvaluationInputs inputs, Object item, List<?> list) {
        CostCounter counter = inputs.counter();
        Object isIn = CollectionFunctions.contains(list, item, counter);
        inputs.charge(counter);
        return inputs.unbox(isIn, false);
    }

    /** {@code ==} or {@code !=}, where at least one side is known to be a string; {@code expected}: the equality that gives true. */
    static BoolStep equality(ValueStep left, ValueStep right, boolean expected) {
        return inputs -> {
            Object leftValue = left.evaluate(inputs);
            Object rightValue = inputs.error != null ? null : right.evaluate(inputs);
            if (inputs.error != null) {
                return false;
            }
            int scanCost = leftValue instanceof String text ? text.length() / CHARS_PER_UNIT : 0;
            return inputs.charge(2 + scanCost) && leftValue.equals(rightValue) == expected;
        };
    }

    static ValueStep concatenate(ValueStep left, ValueStep right) {
        return inputs -> {
            String first = text(inputs, left);
            String second = first == null ? null : text(inputs, right);
            if (second == null) {
                return null;
            }
            int cost = 3 + first.length() / CHARS_PER_UNIT + second.length() / CHARS_PER_UNIT;
            return inputs.charge(cost) ? first.concat(second) : null;
        };
    }

    static IntStep size(ValueStep operand) {
        return inputs -> {
            String text = text(inputs, operand);
            return text != null && inputs.charge(1 + text.length() / CHARS_PER_UNIT)
                    ? text.codePointCount(0, text.length())
                    : 0;
        };
    }
}
