package elderseam.rules;

import elderseam.settings.SectionFile.Section;
import elderseam.settings.SectionFile.Value;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** The kinds of sections that a rules file may have, and the keys of each. */
final class SectionKeys {
    /** The kinds, in the order in which a fault names them. */
    static final List<String> KINDS = List.of("table", "rule", "route", "limit", "example");

    /** What the name of a route's subset begins with. */
    static final String SUBSET_PREFIX = "subset_";

    private static final Pattern SUBSET_KEY = Pattern.compile(SUBSET_PREFIX + "[a-z0-9_]+");

    private static final Map<String, Set<String>> KEYS_BY_KIND = Map.of(
            "table",
            Set.of("match", "on_error"),
            "rule",
            Set.of("when", "class", "tenant", "destination", "route", "key", "deadline", "priority", "refuse", "limit"),
            "limit",
            Set.of("per", "rate_per_s", "burst", "keys"),
            "route",
            Set.of("to", "by", "fallback", "header", "canary", "canary_steps", "canary_every", "canary_from"),
            "example",
            RuleExample.KEYS,
            IdempotencyKeySchemeText.HEAD_KIND,
            IdempotencyKeySchemeText.HEAD_KEYS);

    private SectionKeys() {}

    /** Reports keys that the section's kind doesn't have, and keys that occur more than once. */
    static void check(Section section, RuleFaults faults) {
        section.values().forEach((key, values) -> {
            if (!isAllowed(section, key)) {
                faults.add(section, key, "unknown key, allowed: " + allowedKeys(section));
            } else if (values.size() > 1 && !mayRepeat(section, key)) {
                Value repeated = values.get(1);
                int firstLine = values.get(0).line();
                faults.add(section, key, repeated, "told at line " + firstLine + " already, allowed: once");
            }
        });
    }

    private static boolean isAllowed(Section section, String key) {
        if (section.kind().equals("unknown")) { // reported as such already
            return true;
        }
        boolean subset =
                section.kind().equals("route") && SUBSET_KEY.matcher(key).matches();
        return subset || KEYS_BY_KIND.get(section.kind()).contains(key);
    }

    private static boolean mayRepeat(Section section, String key) {
        return section.kind().equals("example") && key.equals("header");
    }

    private static String allowedKeys(Section section) {
        List<String> sorted = KEYS_BY_KIND.get(section.kind()).stream().sorted().toList();
        return String.join(", ", sorted) + (section.kind().equals("route") ? ", subset_NAME" : "");
    }
}
