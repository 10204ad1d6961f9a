package elderseam.rules;

import java.util.ArrayList;
import java.util.List;

/**
 * The classes and tenants that there are, in the order of the settings that name them. Where nobody told them ({@code told} false, as
 * on a desk without the platform's configuration) each name that a rule or an example uses is taken for one.
 */
public record KnownNames(List<String> classes, List<String> tenants, boolean told) {
    public static KnownNames of(List<String> classes, List<String> tenants) {
        return new KnownNames(List.copyOf(classes), List.copyOf(tenants), true);
    }

    public static KnownNames untold() {
        return new KnownNames(new ArrayList<>(), new ArrayList<>(), false);
    }

    /** The same, to which names that are no longer told may be added without harm. */
    KnownNames open() {
        return new KnownNames(new ArrayList<>(classes), new ArrayList<>(tenants), false);
    }

    private int number(List<String> all, String name) {
        if (!told && !all.contains(name) && !name.isEmpty()) {
            all.add(name);
        }
        return all.indexOf(name);
    }

    int cls(String name) {
        return number(classes, name);
    }

    int tenant(String name) {
        return number(tenants, name);
    }
}
