package elderseam.rules.cel;

import com.google.re2j.Pattern;
import elderseam.rules.cel.Program.Any;
import elderseam.rules.cel.Program.Truth;
import elderseam.rules.cel.Program.Whole;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Steps over strings; they allocate nothing but the strings that they put together. */
final class StringSteps {
    private StringSteps() {}

    /** The string of a step, or null with an error. */
    private static String text(EvaluationInputs in, Any of) {
        Object v = of.of(in);
        if (v instanceof String s) {
            return s;
        }
        in.fail(EvaluationError.NO_OVERLOAD); // unless there is an error already
        return null;
    }

    static Truth test(String function, Any x, Any y) {
        return switch (function) {
            case "startsWith" ->
                in -> {
                    String a = text(in, x), b = a == null ? null : text(in, y);
                    return b != null && in.spend(2 + b.length() / 16) && a.startsWith(b);
                };
            case "endsWith" ->
                in -> {
                    String a = text(in, x), b = a == null ? null : text(in, y);
                    return b != null && in.spend(2 + b.length() / 16) && a.endsWith(b);
                };
            default ->
                in -> {
                    String a = text(in, x), b = a == null ? null : text(in, y);
                    return b != null
                            && in.spend(2 + a.length() / 16 + (long) a.length() * b.length() / 16)
                            && a.contains(b);
                };
        };
    }

    static Truth matches(Any x, Pattern pattern) {
        int length = pattern.pattern().length();
        return in -> {
            String a = text(in, x);
            return a != null
                    && in.spend(1 + (1L + a.length()) * (1 + length) / 4)
                    && pattern.matcher(a).find();
        };
    }

    /** In a constant list; one of strings alone is looked up by hash. */
    static Truth among(Any x, List<?> list) {
        if (!list.stream().allMatch(String.class::isInstance)) {
            return in -> {
                Object v = x.of(in);
                return in.error == null && generic(in, "in", v, list);
            };
        }
        Set<Object> all = new HashSet<>(list);
        return in -> {
            String a = text(in, x);
            return a != null && !all.isEmpty() && in.spend(2 + a.length() / 16) && all.contains(a);
        };
    }

    private static boolean generic(EvaluationInputs in, String function, Object x, Object y) {
        CostCounter counter = in.counter();
        Object v = Functions.call(function, new Object[] {x, y}, counter);
        in.spent(counter);
        return in.unboxed(v, false);
    }

    /** Equality where at least one side is known to be a string. */
    static Truth equal(Any x, Any y, boolean same) {
        return in -> {
            Object a = x.of(in);
            Object b = in.error != null ? null : y.of(in);
            if (in.error != null) {
                return false;
            }
            return in.spend(2 + (a instanceof String s ? s.length() / 16 : 0)) && a.equals(b) == same;
        };
    }

    static Any joined(Any x, Any y) {
        return in -> {
            String a = text(in, x), b = a == null ? null : text(in, y);
            return b != null && in.spend(3 + a.length() / 16 + b.length() / 16) ? a.concat(b) : null;
        };
    }

    static Whole size(Any x) {
        return in -> {
            String a = text(in, x);
            return a != null && in.spend(1 + a.length() / 16) ? a.codePointCount(0, a.length()) : 0;
        };
    }
}
