package elderseam.rules.cel;

import com.google.re2j.Pattern;
import elderseam.rules.cel.Program.Any;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Steps over lists and maps, and calls of the reference's library for all that has no step of its own. */
final class CollectionSteps {
    private CollectionSteps() {}

    private static Object failed(EvaluationInputs in, EvaluationError e) {
        in.fail(e);
        return null;
    }

    static Any select(Any of, String field, boolean has) {
        long cost = ValueSize.text(field.length()).whole();
        return in -> {
            Object m = of.of(in);
            if (in.error != null) {
                return null;
            }
            if (!(m instanceof Map<?, ?> map)) {
                return failed(in, EvaluationError.NO_OVERLOAD);
            }
            Object v = in.spend(cost) ? map.get(field) : null;
            return has ? (Object) (v != null) : v != null ? v : failed(in, EvaluationError.NO_KEY);
        };
    }

    static Any list(Any[] items) {
        return in -> {
            List<Object> all = new ArrayList<>(items.length);
            for (Any i : items) {
                Object v = i.of(in);
                if (in.error != null) {
                    return null;
                }
                all.add(v);
            }
            return all;
        };
    }

    static Any map(Any[] keys, Any[] values) {
        return in -> {
            Map<Object, Object> all = new LinkedHashMap<>();
            for (int i = 0; i < keys.length; i++) {
                Object k = keys[i].of(in);
                Object v = in.error != null ? null : values[i].of(in);
                if (in.error != null || !in.spend(CostModel.of(k).whole())) {
                    return null;
                }
                if (!(k instanceof Long || k instanceof UnsignedLong || k instanceof String || k instanceof Boolean)) {
                    return failed(in, EvaluationError.NO_OVERLOAD);
                }
                if (Functions.lookup(all, k) != null) {
                    return failed(in, EvaluationError.DUPLICATE);
                }
                all.put(k, v);
            }
            return all;
        };
    }

    static Any call(String function, Any[] args, Pattern pattern) {
        boolean items = function.equals("in") || function.equals("==") || function.equals("!=");
        return in -> {
            Object[] values = new Object[args.length];
            ValueSize[] sizes = items ? null : new ValueSize[args.length];
            for (int i = 0; i < args.length; i++) {
                values[i] = args[i].of(in);
                if (in.error != null) {
                    return null;
                }
                if (!items) {
                    sizes[i] = CostModel.of(values[i]);
                }
            }
            if (!in.spend(items ? 1 : CostModel.of(function, sizes))) { // what goes through items counts them itself
                return null;
            }
            if (pattern != null) {
                return values[0] instanceof String s
                        ? (Object) pattern.matcher(s).find()
                        : failed(in, EvaluationError.NO_OVERLOAD);
            }
            CostCounter counter = in.counter();
            Object v = Functions.call(function, values, counter);
            in.spent(counter);
            return v instanceof EvaluationError e ? failed(in, e) : in.error != null ? null : v;
        };
    }
}
