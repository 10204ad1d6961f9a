package elderseam.rules.cel;

/** An error as a value: what went wrong in an evaluation. */
public record EvaluationError(String words) {
    static final EvaluationError OVERFLOW = new EvaluationError("overflow"),
            BY_ZERO = new EvaluationError("division by zero"),
            COST = new EvaluationError("above its budget"),
            NO_OVERLOAD = new EvaluationError("no such overload"),
            NO_KEY = new EvaluationError("no such key"),
            BOUNDS = new EvaluationError("index out of bounds"),
            NO_NAME = new EvaluationError("no value for a name"),
            DUPLICATE = new EvaluationError("a key twice in one map"),
            RANGE = new EvaluationError("out of range");
}
