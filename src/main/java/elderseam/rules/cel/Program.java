package elderseam.rules.cel;

/**
 * A compiled expression: a tree of small steps, each made for the types that it meets, so that bools, ints and doubles pass from step to
 * step unboxed and nothing is looked up by name.
 *
 * <p>It counts costs as the reference does, but only those that grow with the inputs: strings, lists and iterations of comprehensions.
 *
 * <p>Immutable; the state of an evaluation is in its {@link EvaluationInputs}.
 */
public final class Program {
    private final ValueStep valueStep;
    private final BoolStep boolStep;
    private final IntStep intStep;
    private final DoubleStep doubleStep;
    private final long budget;

    Program(ValueStep valueStep, BoolStep boolStep, IntStep intStep, DoubleStep doubleStep, long budget) {
        this.valueStep = valueStep;
        this.boolStep = boolStep;
        this.intStep = intStep;
        this.doubleStep = doubleStep;
        this.budget = budget;
    }

    /** Evaluates an expression that gives a bool; false with an error. */
    public boolean boolValue(EvaluationInputs inputs) {
        inputs.begin(budget);
        boolean value = boolStep.evaluate(inputs);
        return !hasFailed(inputs) && value;
    }

    /** Evaluates an expression that gives an int; 0 with an error. */
    public long intValue(EvaluationInputs inputs) {
        inputs.begin(budget);
        long value = intStep.evaluate(inputs);
        return hasFailed(inputs) ? 0 : value;
    }

    /** Evaluates an expression that gives a double; 0 with an error. */
    public double doubleValue(EvaluationInputs inputs) {
        inputs.begin(budget);
        double value = doubleStep.evaluate(inputs);
        return hasFailed(inputs) ? 0 : value;
    }

    /** Evaluates any expression; gives the {@link EvaluationError} with an error. */
    public Object value(EvaluationInputs inputs) {
        inputs.begin(budget);
        Object value = valueStep.evaluate(inputs);
        return hasFailed(inputs) ? inputs.error : value;
    }

    private static boolean hasFailed(EvaluationInputs inputs) {
        if (inputs.isOverBudget()) {
            inputs.error = EvaluationError.BUDGET_EXCEEDED; // which nothing absorbs
        }
        return inputs.error != null;
    }
}
