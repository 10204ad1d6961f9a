package elderseam.rules.cel;

/**
 * An error of an evaluation, which is a value there: operators such as {@code ||} may absorb it.
 *
 * @param message what went wrong, as operators read it
 */
public record EvaluationError(String message) {
    static final EvaluationError OVERFLOW = new EvaluationError("overflow");
    static final EvaluationError DIVISION_BY_ZERO = new EvaluationError("division by zero");
    static final EvaluationError BUDGET_EXCEEDED = new EvaluationError("above its budget");
    static final EvaluationError NO_SUCH_OVERLOAD = new EvaluationError("no such overload");
    static final EvaluationError NO_SUCH_KEY = new EvaluationError("no such key");
    static final EvaluationError INDEX_OUT_OF_BOUNDS = new EvaluationError("index out of bounds");
    static final EvaluationError NO_VALUE = new EvaluationError("no value for a name");
    static final EvaluationError DUPLICATE_KEY = new EvaluationError("a key twice in one map");
    static final EvaluationError OUT_OF_RANGE = new EvaluationError("out of range");
}
