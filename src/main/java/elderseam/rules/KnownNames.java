package elderseam.rules;

import java.util.ArrayList;
import java.util.List;

/**
 * The message classes and tenants that exist, in the order of the settings that name them; a name's position is its
 * index throughout the dispatcher. Not thread-safe while names are unchecked.
 */
public final class KnownNames {
    private static final int NOT_FOUND = -1;

    private final List<String> classes;
    private final List<String> tenants;
    private final boolean checked;

    private KnownNames(List<String> classes, List<String> tenants, boolean checked) {
        this.classes = classes;
        this.tenants = tenants;
        this.checked = checked;
    }

    /** Names from the platform's configuration; any other name is unknown. */
    public static KnownNames of(List<String> classes, List<String> tenants) {
        return new KnownNames(List.copyOf(classes), List.copyOf(tenants), true);
    }

    /** Without the platform's configuration: each name that a rule or an example uses is added, none is unknown. */
    public static KnownNames unchecked() {
        return new KnownNames(new ArrayList<>(), new ArrayList<>(), false);
    }

    /** A copy to which any other name is added when it is used. */
    KnownNames uncheckedCopy() {
        return new KnownNames(new ArrayList<>(classes), new ArrayList<>(tenants), false);
    }

    /** Whether the configuration names them all, so that any other name is unknown. */
    public boolean checked() {
        return checked;
    }

    /** The classes by index; grows while names are unchecked. Callers must not modify it. */
    List<String> classes() {
        return classes;
    }

    /** The tenants by index; grows while names are unchecked. Callers must not modify it. */
    List<String> tenants() {
        return tenants;
    }

    /** Returns the index of a class, or -1 if it is unknown or empty. */
    int classIndex(String name) {
        return indexOf(classes, name);
    }

    /** Returns the index of a tenant, or -1 if it is unknown or empty. */
    int tenantIndex(String name) {
        return indexOf(tenants, name);
    }

    private int indexOf(List<String> names, String name) {
        int index = names.indexOf(name);
        if (index >= 0 || checked || name.isEmpty()) {
            return index;
        }
        names.add(name);
        return names.size() - 1;
    }

    /** Returns the index of an evaluated name, or -1 if it is no string or unknown; adds nothing. */
    static int find(List<String> names, Object evaluated) {
        return evaluated instanceof String name ? names.indexOf(name) : NOT_FOUND;
    }
}
