package elderseam.rules.cel;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The names that an expression may use: their types, how large they may be, and their numbers, from 0 in the order in which they
 * were declared, by which {@link EvaluationInputs} is asked. An open name has fields that nobody declared: each that an expression picks is
 * a name of its own, of type dyn. Not changed any more once inputs are made for it.
 */
public final class Scope {
    record Declared(Type type, ValueSize size, int number) {}

    private final Map<String, Declared> names = new LinkedHashMap<>();
    private final Map<String, ValueSize> open = new LinkedHashMap<>();
    private final Map<Integer, List<String>> fields = new LinkedHashMap<>();

    public Scope name(String name, Type type, ValueSize most) {
        names.put(name, new Declared(type, most, names.size()));
        return this;
    }

    /** Any field of this name may be picked; each is no larger than that. */
    public Scope open(String name, ValueSize most) {
        open.put(name, most);
        return this;
    }

    boolean open(String name) {
        return open.containsKey(name);
    }

    /** The name of a field of an open name. */
    String field(String root, List<String> path) {
        String name = root + "."
                + String.join(
                        ".",
                        path.stream()
                                .map(p -> p.replace("\\", "\\\\").replace(".", "\\."))
                                .toList());
        if (!names.containsKey(name)) {
            fields.put(names.size(), List.copyOf(path));
            name(name, Type.Plain.DYN, open.get(root));
        }
        return name;
    }

    /** The fields that were picked, by the numbers of their names. */
    public Map<Integer, List<String>> fields() {
        return Map.copyOf(fields);
    }

    /** The number of a name, or -1. */
    public int number(String name) {
        Declared d = names.get(name);
        return d == null ? -1 : d.number;
    }

    public int size() {
        return names.size();
    }

    Declared get(String name) {
        return names.get(name);
    }

    /** The names as an operator may write them, with their types. */
    public Map<String, Type> all() {
        Map<String, Type> all = new LinkedHashMap<>();
        names.forEach((name, d) -> all.put(name, d.type));
        open.keySet().forEach(name -> all.put(name + ".FIELD", Type.Plain.DYN));
        return all;
    }
}
