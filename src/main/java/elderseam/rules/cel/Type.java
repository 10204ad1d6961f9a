package elderseam.rules.cel;

import java.util.List;

/** Types, as the checker knows them. DYN is not known before evaluation, and goes with each. */
public sealed interface Type {
    /** Types without parameters. */
    enum Plain implements Type {
        BOOL("bool"),
        INT("int"),
        UINT("uint"),
        DOUBLE("double"),
        STRING("string"),
        BYTES("bytes"),
        NULL("null"),
        TIMESTAMP("timestamp"),
        DURATION("duration"),
        DYN("dyn");

        private final String word;

        Plain(String word) {
            this.word = word;
        }

        @Override
        public String toString() {
            return word;
        }
    }

    record ListType(Type item) implements Type {
        @Override
        public String toString() {
            return "list(" + item + ")";
        }
    }

    record MapType(Type key, Type value) implements Type {
        @Override
        public String toString() {
            return "map(" + key + ", " + value + ")";
        }
    }

    /** Whether a value of one may stand where the other is asked for. */
    static boolean fits(Type given, Type asked) {
        if (given == Plain.DYN || asked == Plain.DYN || given.equals(asked)) {
            return true;
        }
        return (given instanceof ListType g && asked instanceof ListType a && fits(g.item, a.item))
                || (given instanceof MapType h
                        && asked instanceof MapType b
                        && fits(h.key, b.key)
                        && fits(h.value, b.value));
    }

    /** The type of what may be any of these: theirs where they agree. */
    static Type common(List<Type> types) {
        Type t = null;
        for (Type x : types) {
            t = t == null || (t == Plain.DYN && types.stream().allMatch(y -> y == Plain.DYN))
                    ? x
                    : t.equals(x) ? t : fits(t, x) && fits(x, t) ? wider(t, x) : Plain.DYN;
        }
        return t == null ? Plain.DYN : t;
    }

    private static Type wider(Type a, Type b) {
        if (a instanceof ListType x && b instanceof ListType y) {
            return new ListType(wider(x.item, y.item));
        }
        if (a instanceof MapType x && b instanceof MapType y) {
            return new MapType(wider(x.key, y.key), wider(x.value, y.value));
        }
        return a.equals(b) ? a : Plain.DYN;
    }
}
