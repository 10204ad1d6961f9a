package elderseam.rules.cel;

/**
 * An expression compiled: a closed tree of small steps, each made for the types that it meets, so that bools, ints and doubles go
 * from step to step unboxed and nothing is looked up by name. Counts as the reference does, though only what its inputs can make
 * larger: texts, lists and the rounds of comprehensions.
 */
public final class Program {
    interface Truth {
        boolean of(EvaluationInputs in);
    }

    interface Whole {
        long of(EvaluationInputs in);
    }

    interface Real {
        double of(EvaluationInputs in);
    }

    /** Any value; where it ends in an error that is left in the inputs, and null given. */
    interface Any {
        Object of(EvaluationInputs in);
    }

    private final Any any;
    private final Truth truth;
    private final Whole whole;
    private final Real real;
    private final long budget;

    Program(Any any, Truth truth, Whole whole, Real real, long budget) {
        this.any = any;
        this.truth = truth;
        this.whole = whole;
        this.real = real;
        this.budget = budget;
    }

    /** Of one that gives a bool; false with an error. */
    public boolean truth(EvaluationInputs in) {
        in.begin(budget);
        boolean v = truth.of(in);
        return !failed(in) && v;
    }

    /** Of one that gives an int; 0 with an error. */
    public long whole(EvaluationInputs in) {
        in.begin(budget);
        long v = whole.of(in);
        return failed(in) ? 0 : v;
    }

    /** Of one that gives a double; 0 with an error. */
    public double real(EvaluationInputs in) {
        in.begin(budget);
        double v = real.of(in);
        return failed(in) ? 0 : v;
    }

    /** Of any; the {@link EvaluationError} with an error. */
    public Object value(EvaluationInputs in) {
        in.begin(budget);
        Object v = any.of(in);
        return failed(in) ? in.error : v;
    }

    private static boolean failed(EvaluationInputs in) {
        if (in.over()) {
            in.error = EvaluationError.COST; // which nothing absorbs
        }
        return in.error != null;
    }
}
