package elderseam.rules.cel;

/**
 * What a compiled expression is evaluated against: the values of the names of its {@link Scope}, by their numbers, fetched only
 * where the expression comes to them. One thread owns it and uses it again for each evaluation, so that none allocates. An error
 * is left in {@link #error()}, and the value given then means nothing.
 */
public abstract class EvaluationInputs {
    EvaluationError error;
    final Object[] variables = new Object[Parser.DEEPEST + 1]; // of macros, by how deep they stand
    private long most, spent;

    /** A value of any type; null where there is none; an {@link EvaluationError} where it can't be had. */
    protected abstract Object value(int name);

    /** A name of type int; {@link #fail} where it can't be had. */
    protected long whole(int name) {
        return unboxed(value(name), 0L);
    }

    /** A name of type double. */
    protected double real(int name) {
        return unboxed(value(name), 0.0);
    }

    /** A name of type bool. */
    protected boolean truth(int name) {
        return unboxed(value(name), false);
    }

    /** Whether a field that was declared open is there. */
    @SuppressWarnings("ReferenceEquality") // NO_NAME is one object, and only it means "not there"
    protected boolean present(int name) {
        Object v = value(name);
        if (v instanceof EvaluationError e && e != EvaluationError.NO_NAME) {
            fail(e);
            return false;
        }
        return v != null && !(v instanceof EvaluationError);
    }

    @SuppressWarnings("unchecked")
    final <T> T unboxed(Object v, T absent) {
        if (v == null || v instanceof EvaluationError || v.getClass() != absent.getClass()) {
            fail(
                    v == null
                            ? EvaluationError.NO_NAME
                            : v instanceof EvaluationError e ? e : EvaluationError.NO_OVERLOAD);
            return absent;
        }
        return (T) v;
    }

    /** The evaluation ends in this error, unless it is absorbed. */
    protected final void fail(EvaluationError e) {
        if (error == null) {
            error = e;
        }
    }

    /** The error of the last evaluation, or null. */
    public final EvaluationError error() {
        return error;
    }

    /** Units that the last evaluation counted. */
    public final long spent() {
        return spent;
    }

    final void begin(long budget) {
        most = budget;
        spent = 0;
        error = null;
    }

    /** False, with an error, where it is above the budget. */
    final boolean spend(long units) {
        spent += units;
        if (spent <= most) {
            return true;
        }
        fail(EvaluationError.COST);
        return false;
    }

    final boolean over() {
        return spent > most;
    }

    /** What the library of functions counts on, as far as there is room. */
    final CostCounter counter() {
        return new CostCounter(most - spent);
    }

    final void spent(CostCounter counter) {
        spend(counter.count());
    }
}
