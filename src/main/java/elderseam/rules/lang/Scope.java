package elderseam.rules.lang;

import java.util.LinkedHashMap;
import java.util.Map;

/** The names that an expression may use: their types and how large they may be. */
public final class Scope {
    record Declared(Type type, Size size) {}

    private final Map<String, Declared> names = new LinkedHashMap<>();

    public Scope name(String name, Type type, Size most) {
        names.put(name, new Declared(type, most));
        return this;
    }

    Declared get(String name) {
        return names.get(name);
    }

    Iterable<String> all() {
        return names.keySet();
    }
}
