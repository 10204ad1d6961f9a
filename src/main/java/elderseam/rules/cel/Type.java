package elderseam.rules.cel;

import java.util.List;

/** The types of the language, as the type checker knows them. */
public sealed interface Type {
    /** Types without parameters. {@code DYN} is the type of what is known only at evaluation; it is compatible with every type. */
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

        private final String text;

        Plain(String text) {
            this.text = text;
        }

        @Override
        public String toString() {
            return text;
        }
    }

    /** Lists of items of one type. */
    record ListType(Type item) implements Type {
        @Override
        public String toString() {
            return "list(" + item + ")";
        }
    }

    /** Maps from keys of one type to values of one type. */
    record MapType(Type key, Type value) implements Type {
        @Override
        public String toString() {
            return "map(" + key + ", " + value + ")";
        }
    }

    /** Whether a value of one type may stand where the other is expected, as far as the types tell. */
    static boolean areCompatible(Type first, Type second) {
        if (first == Plain.DYN || second == Plain.DYN || first.equals(second)) {
            return true;
        }
        if (first instanceof ListType firstList && second instanceof ListType secondList) {
            return areCompatible(firstList.item, secondList.item);
        }
        return first instanceof MapType firstMap
                && second instanceof MapType secondMap
                && areCompatible(firstMap.key, secondMap.key)
                && areCompatible(firstMap.value, secondMap.value);
    }

    /** The type of a value that may have any of these types: theirs as far as they agree, else {@code DYN}. */
    static Type join(List<Type> types) {
        Type joined = null;
        for (Type type : types) {
            joined = joined == null ? type : join(joined, type);
        }
        return joined == null ? Plain.DYN : joined;
    }

    private static Type join(Type first, Type second) {
        if (first.equals(second)) {
            return first;
        }
        if (!areCompatible(first, second)) {
            return Plain.DYN;
        }
        if (first instanceof ListType firstList && second instanceof ListType secondList) {
            return new ListType(join(firstList.item, secondList.item));
        }
        if (first instanceof MapType firstMap && second instanceof MapType secondMap) {
            return new MapType(join(firstMap.key, secondMap.key), join(firstMap.value, secondMap.value));
        }
        return Plain.DYN;
    }
}
