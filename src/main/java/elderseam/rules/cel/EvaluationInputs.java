package elderseam.rules.cel;

/**
 * What a compiled expression is evaluated with (CEL's activation): the values of the names of its {@link Scope}, asked for by their
 * numbers, and only where the expression comes to them. It also holds the state of the evaluation: the values of comprehensions'
 * variables, the cost so far, and the error if there is one.
 *
 * <p>Confined to one thread, which uses it again for each evaluation, so that none allocates.
 */
public abstract class EvaluationInputs {
    /** The error of the evaluation; null while there is none. Values given beside an error mean nothing. */
    EvaluationError error;

    /** Values of the variables of comprehensions, by how many comprehensions stand around theirs. */
    final Object[] variables = new Object[Parser.MAX_NESTING + 1];

    private long budget;
    private long cost;

    /** The value of a name of any type; null if it has none; an {@link EvaluationError} if it can't be had. */
    protected abstract Object value(int name);

    /** The value of a name of type int; calls {@link #fail} if it can't be had. */
    protected long intValue(int name) {
        return unbox(value(name), 0L);
    }

    /** The value of a name of type double; calls {@link #fail} if it can't be had. */
    protected double doubleValue(int name) {
        return unbox(value(name), 0.0);
    }

    /** The value of a name of type bool; calls {@link #fail} if it can't be had. */
    protected boolean boolValue(int name) {
        return unbox(value(name), false);
    }

    /** Whether a field of an open name is there; calls {@link #fail} if that can't be told. */
    @SuppressWarnings("ReferenceEquality") // NO_VALUE is one object, and only it means "not there"
    protected boolean isPresent(int name) {
        Object value = value(name);
        if (value instanceof EvaluationError valueError && valueError != EvaluationError.NO_VALUE) {
            fail(valueError);
            return false;
        }
        return value != null && !(value instanceof EvaluationError);
    }

    /** A value of the type of {@code absent}; with any other value, fails and returns {@code absent}. */
    @SuppressWarnings("unchecked")
    final <T> T unbox(Object value, T absent) {
        if (value != null && value.getClass() == absent.getClass()) {
            return (T) value;
        }
        if (value == null) {
            fail(EvaluationError.NO_VALUE);
        } else {
            fail(value instanceof EvaluationError valueError ? valueError : EvaluationError.NO_SUCH_OVERLOAD);
        }
        return absent;
    }

    /** Ends the evaluation with this error, unless an operator absorbs it. The first error stays. */
    protected final void fail(EvaluationError cause) {
        if (error == null) {
            error = cause;
        }
    }

    /** Fails with an error; returns null, the value of a {@link ValueStep} that failed. */
    final Object failValue(EvaluationError cause) {
        fail(cause);
        return null;
    }

    /** The error of the last evaluation, or null. */
    public final EvaluationError error() {
        return error;
    }

    /** The cost of the last evaluation, in units of {@link CostModel}. */
    public final long cost() {
        return cost;
    }

    final void begin(long newBudget) {
        budget = newBudget;
        cost = 0;
        error = null;
    }

    /** Adds units to the cost. Fails and returns false if that is above the budget. */
    final boolean charge(long units) {
        cost += units;
        if (cost <= budget) {
            return true;
        }
        fail(EvaluationError.BUDGET_EXCEEDED);
        return false;
    }

    final boolean isOverBudget() {
        return cost > budget;
    }

    /** A counter for the library of functions, with what is left of the budget. */
    final CostCounter counter() {
        return new CostCounter(budget - cost);
    }

    /** Adds what was counted on a {@link #counter()}. */
    final void charge(CostCounter counter) {
        charge(counter.cost());
    }
}
