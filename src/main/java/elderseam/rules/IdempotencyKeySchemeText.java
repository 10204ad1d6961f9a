package elderseam.rules;

import elderseam.settings.SectionFile.Section;
import java.util.List;
import java.util.Set;

/** The text of a {@link IdempotencyKeyScheme}: of all rules only what may decide which of them yields a key, and which key. */
final class IdempotencyKeySchemeText {
    private static final Set<String> RULE = Set.of("when", "class", "tenant", "destination", "route", "key"),
            NOT = Set.of("limit", "example", "scheme");

    private IdempotencyKeySchemeText() {}

    static String of(List<Section> sections, RuleLimits e) {
        StringBuilder all = new StringBuilder("[scheme keys]\nzone = ")
                .append(e.zone().getId())
                .append("\nbody_bytes = ")
                .append(e.bodyBytes())
                .append("\nbody_depth = ")
                .append(e.bodyDepth())
                .append("\nfield_chars = ")
                .append(e.fieldChars())
                .append("\nlist_items = ")
                .append(e.listItems())
                .append('\n');
        for (Section s : sections) {
            if (NOT.contains(s.kind())) {
                continue;
            }
            all.append('[').append(s.kind()).append(' ').append(s.name()).append("]\n");
            s.values().forEach((key, values) -> {
                if (!s.kind().equals("rule") || RULE.contains(key)) {
                    all.append(key).append(" = ").append(values.get(0).text()).append('\n');
                }
            });
        }
        return all.toString();
    }
}
