package elderseam.rules;

import elderseam.settings.SectionFile;
import elderseam.settings.SectionFile.Section;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The text of an {@link IdempotencyKeyScheme}: a head with the limits that its expressions depend on, then those parts
 * of all rules that may decide which of them gives a key, and which key. The journal holds such texts: what is written
 * here has to stay as it is.
 */
final class IdempotencyKeySchemeText {
    /** Kind of the section at the head. */
    static final String HEAD_KIND = "scheme";

    /** Keys of the section at the head. */
    static final Set<String> HEAD_KEYS = Set.of("zone", "body_bytes", "body_depth", "field_chars", "list_items");

    private static final Set<String> RULE_KEYS = Set.of("when", "class", "tenant", "destination", "route", "key");
    private static final Set<String> OMITTED_KINDS = Set.of("limit", "example", HEAD_KIND);
    private static final List<String> KINDS = List.of("table", "rule", "route", HEAD_KIND);

    /** No bound, and far from an overflow: the rules were within their budgets when they were accepted. */
    private static final long UNLIMITED_BUDGET = Long.MAX_VALUE >> 20;

    private IdempotencyKeySchemeText() {}

    /** Writes the scheme of rules. */
    static String of(List<Section> sections, RuleLimits limits) {
        StringBuilder text = new StringBuilder("[" + HEAD_KIND + " keys]\n");
        appendValue(text, "zone", limits.zone().getId());
        appendValue(text, "body_bytes", limits.maxBodyBytes());
        appendValue(text, "body_depth", limits.maxBodyDepth());
        appendValue(text, "field_chars", limits.maxFieldChars());
        appendValue(text, "list_items", limits.maxListItems());
        for (Section section : sections) {
            if (!OMITTED_KINDS.contains(section.kind())) {
                appendSection(text, section);
            }
        }
        return text.toString();
    }

    private static void appendSection(StringBuilder text, Section section) {
        text.append('[')
                .append(section.kind())
                .append(' ')
                .append(section.name())
                .append("]\n");
        section.values().forEach((key, values) -> {
            if (!section.kind().equals("rule") || RULE_KEYS.contains(key)) {
                appendValue(text, key, values.get(0).text());
            }
        });
    }

    private static void appendValue(StringBuilder text, String key, Object value) {
        text.append(key).append(" = ").append(value).append('\n');
    }

    /** Reads a scheme's sections, the head first. */
    static List<Section> read(IdempotencyKeyScheme scheme) {
        List<String> lines = scheme.text().lines().toList();
        return SectionFile.read("scheme " + scheme.name(), lines, KINDS, new ArrayList<>());
    }

    /** The limits that the head of a scheme tells; all others are the default, or none. */
    static RuleLimits limits(Section head) {
        return new RuleLimits(
                ZoneId.of(head.text("zone", "UTC")),
                Integer.parseInt(head.text("body_bytes", "0")),
                Integer.parseInt(head.text("body_depth", "0")),
                Integer.parseInt(head.text("field_chars", "0")),
                Integer.parseInt(head.text("list_items", "0")),
                UNLIMITED_BUDGET,
                UNLIMITED_BUDGET,
                RuleLimits.DEFAULTS.rateWindowSeconds(),
                RuleLimits.DEFAULTS.rememberSeconds());
    }
}
