package elderseam.rules.cel;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The names that an expression may use: their types, how large their values may be, and their numbers, counted from 0 in the order of
 * declaration, by which {@link EvaluationInputs} is asked for values.
 *
 * <p>An open name has fields that nobody declared. Each that an expression selects is declared then, as a name of its own of type dyn.
 *
 * <p>Not thread-safe; to be left unchanged once inputs are made for it.
 */
public final class Scope {
    private static final int NOT_DECLARED = -1;

    /**
     * A declared name.
     *
     * @param size the largest that its value may be
     */
    record Declaration(Type type, ValueSize size, int number) {}

    private final Map<String, Declaration> declarations = new LinkedHashMap<>();
    private final Map<String, ValueSize> openNames = new LinkedHashMap<>();
    private final Map<Integer, List<String>> fieldPaths = new LinkedHashMap<>();

    /** Declares a name of a type, whose value is no larger than {@code maxSize}. Returns this scope. */
    public Scope name(String name, Type type, ValueSize maxSize) {
        declarations.put(name, new Declaration(type, maxSize, declarations.size()));
        return this;
    }

    /** Declares an open name: any field of it may be selected, and each is no larger than {@code maxSize}. Returns this scope. */
    public Scope open(String name, ValueSize maxSize) {
        openNames.put(name, maxSize);
        return this;
    }

    boolean isOpen(String name) {
        return openNames.containsKey(name);
    }

    /** The name of a field of an open name, which it declares if no expression has selected it before. */
    String field(String openName, List<String> path) {
        StringBuilder name = new StringBuilder(openName);
        for (String part : path) {
            name.append('.').append(part.replace("\\", "\\\\").replace(".", "\\."));
        }
        String fieldName = name.toString();
        if (!declarations.containsKey(fieldName)) {
            fieldPaths.put(declarations.size(), List.copyOf(path));
            name(fieldName, Type.Plain.DYN, openNames.get(openName));
        }
        return fieldName;
    }

    /** The paths of the fields of open names that expressions selected, by the numbers of their names. */
    public Map<Integer, List<String>> fields() {
        return Map.copyOf(fieldPaths);
    }

    /** The number of a name, or -1 if it isn't declared. */
    public int number(String name) {
        Declaration declaration = declarations.get(name);
        return declaration == null ? NOT_DECLARED : declaration.number;
    }

    /** How many names are declared, fields of open names included. */
    public int size() {
        return declarations.size();
    }

    /** The declaration of a name; null if there is none. */
    Declaration get(String name) {
        return declarations.get(name);
    }

    /** The names as an operator may write them, with their types, in the order of declaration; open names last, as {@code name.FIELD}. */
    public Map<String, Type> all() {
        Map<String, Type> types = new LinkedHashMap<>();
        declarations.forEach((name, declaration) -> types.put(name, declaration.type));
        openNames.keySet().forEach(name -> types.put(name + ".FIELD", Type.Plain.DYN));
        return types;
    }
}
