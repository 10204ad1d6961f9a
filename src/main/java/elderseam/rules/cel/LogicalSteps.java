package elderseam.rules.cel;

/** Steps of logical operators and conditionals. */
final class LogicalSteps {
    private LogicalSteps() {}

    /**
     * {@code &&}, or {@code ||}: an operand that decides the result absorbs an error of the other, on either side (CEL specification,
     * "Logical Operators"). The first error stays if neither decides.
     *
     * @param deciding the operand's value that decides: false of {@code &&}, true of {@code ||}
     */
    static BoolStep logical(BoolStep left, BoolStep right, boolean deciding) {
        return inputs -> {
            boolean leftValue = left.evaluate(inputs);
            EvaluationError leftError = inputs.error;
            if (leftError == null && leftValue == deciding) {
                return deciding;
            }
            inputs.error = null;
            boolean rightValue = right.evaluate(inputs);
            if (inputs.error == null && rightValue == deciding) {
                return deciding;
            }
            inputs.error = leftError != null ? leftError : inputs.error;
            return !deciding;
        };
    }

    static BoolStep not(BoolStep operand) {
        return inputs -> !operand.evaluate(inputs);
    }

    static BoolStep conditionalBool(BoolStep condition, BoolStep whenTrue, BoolStep whenFalse) {
        return inputs -> {
            boolean isTrue = condition.evaluate(inputs);
            return inputs.error == null && (isTrue ? whenTrue : whenFalse).evaluate(inputs);
        };
    }

    static IntStep conditionalInt(BoolStep condition, IntStep whenTrue, IntStep whenFalse) {
        return inputs -> {
            boolean isTrue = condition.evaluate(inputs);
            return inputs.error != null ? 0 : (isTrue ? whenTrue : whenFalse).evaluate(inputs);
        };
    }

    static ValueStep conditionalValue(BoolStep condition, ValueStep whenTrue, ValueStep whenFalse) {
        return inputs -> {
            boolean isTrue = condition.evaluate(inputs);
            return inputs.error != null ? null : (isTrue ? whenTrue : whenFalse).evaluate(inputs);
        };
    }

    /** The same value, boxed. */
    static ValueStep boxed(BoolStep step) {
        return inputs -> {
            boolean value = step.evaluate(inputs);
            return inputs.error != null ? null : (Object) value;
        };
    }
}
