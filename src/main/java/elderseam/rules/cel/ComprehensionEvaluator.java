package elderseam.rules.cel;

import elderseam.rules.cel.Program.Any;
import elderseam.rules.cel.Program.Truth;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A comprehension: over a list's items or a map's keys. */
final class ComprehensionEvaluator implements Truth {
    private static final int ROUND = 2; // itself, and the least that a body costs

    private enum Kind {
        ALL,
        EXISTS,
        ONE,
        FILTER,
        MAP
    }

    private final Kind kind;
    private final Any range, body;
    private final Truth filter, test;
    private final int place;

    ComprehensionEvaluator(Planner planner, Ast.Each x) {
        kind = switch (x.macro()) {
            case "all" -> Kind.ALL;
            case "exists" -> Kind.EXISTS;
            case "exists_one" -> Kind.ONE;
            case "filter" -> Kind.FILTER;
            default -> Kind.MAP;
        };
        range = planner.any(x.range());
        Integer hidden = planner.hidden(x.variable());
        place = planner.enter(x.variable());
        filter = x.filter() == null ? in -> true : planner.truth(x.filter());
        test = kind == Kind.MAP ? in -> true : planner.truth(x.body());
        body = kind == Kind.MAP ? planner.any(x.body()) : in -> null;
        planner.leave(x.variable(), hidden);
    }

    private Iterable<?> items(EvaluationInputs in) {
        Object r = range.of(in);
        if (in.error != null) {
            return null;
        }
        Iterable<?> items = r instanceof List<?> l ? l : r instanceof Map<?, ?> m ? m.keySet() : null;
        if (items == null) {
            in.fail(EvaluationError.NO_OVERLOAD);
        }
        return items;
    }

    @Override
    public boolean of(EvaluationInputs in) {
        Iterable<?> items = items(in);
        if (items == null) {
            return false;
        }
        Object hidden = in.variables[place];
        boolean v = tested(in, items);
        in.variables[place] = hidden;
        return v;
    }

    /** {@code all} and {@code exists} take errors up where another item decides; {@code exists_one} does not. */
    private boolean tested(EvaluationInputs in, Iterable<?> items) {
        EvaluationError error = null;
        int trues = 0;
        for (Object item : items) {
            in.variables[place] = item;
            boolean v = in.spend(ROUND) && test.of(in);
            if (in.over()) {
                return false;
            }
            if (in.error != null && kind == Kind.ONE) {
                return false;
            }
            if (in.error != null) {
                error = error == null ? in.error : error;
                in.error = null;
            } else if (v != (kind == Kind.ALL) && kind != Kind.ONE) {
                return v;
            } else {
                trues += v ? 1 : 0;
            }
        }
        if (error != null) {
            in.fail(error);
        }
        return kind == Kind.ALL || (kind == Kind.ONE && trues == 1);
    }

    /** Of filter and map: the list; of the others the bool. */
    Object collect(EvaluationInputs in) {
        if (kind != Kind.FILTER && kind != Kind.MAP) {
            boolean v = of(in);
            return in.error != null ? null : (Object) v;
        }
        Iterable<?> items = items(in);
        if (items == null) {
            return null;
        }
        Object hidden = in.variables[place];
        List<Object> kept = new ArrayList<>();
        for (Object item : items) {
            in.variables[place] = item;
            boolean takes = in.spend(ROUND) && filter.of(in) && (kind == Kind.MAP || test.of(in));
            Object v = in.error == null && takes ? kind == Kind.MAP ? body.of(in) : item : null;
            if (in.error != null) {
                in.variables[place] = hidden;
                return null;
            }
            if (takes) {
                kept.add(v);
            }
        }
        in.variables[place] = hidden;
        return kept;
    }
}
