package elderseam.rules.cel;

import java.util.HashMap;
import java.util.Map;

/**
 * What is known of the variables of the comprehensions around a node. A variable of an inner comprehension hides one of the same name
 * until it is unbound.
 *
 * @param <T> what is known of a variable: its type, its size, its value, or its place
 */
final class VariableBindings<T> {
    private final Map<String, T> bindings = new HashMap<>();

    /** What is known of a variable; null if there is none of that name. */
    T get(String name) {
        return bindings.get(name);
    }

    /** Binds a variable, or what is known of it anew. Returns what it hides, for {@link #unbind}; null for nothing. */
    T bind(String name, T binding) {
        return bindings.put(name, binding);
    }

    /** Ends the innermost binding of a name; {@code hidden}: what {@link #bind} returned. */
    void unbind(String name, T hidden) {
        if (hidden == null) {
            bindings.remove(name);
        } else {
            bindings.put(name, hidden);
        }
    }
}
