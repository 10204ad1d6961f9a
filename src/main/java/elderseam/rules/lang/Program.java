package elderseam.rules.lang;

/**
 * An expression compiled: a closed tree of small steps, each made for the types that it meets, so that bools, ints and doubles go
 * from step to step unboxed and nothing is looked up by name. Counts as the reference does, though only what its inputs can make
 * larger: texts, lists and the rounds of comprehensions.
 */
public final class Program {
    interface Truth {
        boolean of(Inputs in);
    }

    interface Whole {
        long of(Inputs in);
    }

    interface Real {
        double of(Inputs in);
    }

    /** Any value; where it ends in an error that is left in the inputs, and null given. */
    interface Any {
        Object of(Inputs in);
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
    public boolean truth(Inputs in) {
        in.begin(budget);
        boolean v = truth.of(in);
        return !failed(in) && v;
    }

    /** Of one that gives an int; 0 with an error. */
    public long whole(Inputs in) {
        in.begin(budget);
        long v = whole.of(in);
        return failed(in) ? 0 : v;
    }

    /** Of one that gives a double; 0 with an error. */
    public double real(Inputs in) {
        in.begin(budget);
        double v = real.of(in);
        return failed(in) ? 0 : v;
    }

    /** Of any; the {@link Err} with an error. */
    public Object value(Inputs in) {
        in.begin(budget);
        Object v = any.of(in);
        return failed(in) ? in.error : v;
    }

    private static boolean failed(Inputs in) {
        if (in.over()) {
            in.error = Err.COST; // which nothing absorbs
        }
        return in.error != null;
    }
}
