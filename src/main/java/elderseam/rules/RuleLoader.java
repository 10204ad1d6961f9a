package elderseam.rules;

import elderseam.settings.SectionFile;
import elderseam.settings.SectionFile.Section;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Loads rules files into a {@link Rulebook}: parses, type-checks, bounds and compiles them, completely or not at all.
 * All faults are reported at once, as a {@link SettingsFault}. Calls on several threads don't affect one another.
 */
public final class RuleLoader {
    /** Name of the table of the rules that stand before the first {@code [table]}. */
    private static final String DEFAULT_TABLE = "rules";

    /**
     * The result of a reading.
     *
     * @param warnings what is allowed and most likely not intended, a line each with its place
     * @param maxCost the most units that all rules together may cost for one request
     */
    public record Loaded(Rulebook rulebook, List<RuleExample> examples, List<String> warnings, long maxCost) {}

    private final RuleLimits limits;
    private final KnownNames names;
    private final RuleFaults faults = new RuleFaults();
    private final RuleExpressions expressions;

    private RuleLoader(RuleLimits limits, KnownNames names) {
        this.limits = limits;
        this.names = names;
        this.expressions = new RuleExpressions(limits, faults);
    }

    /**
     * Reads files, in their order, and runs their examples.
     *
     * @throws SettingsFault if there is a fault, or an example fails
     * @throws IOException if a file can't be read
     */
    public static Loaded load(List<Path> files, RuleLimits limits, KnownNames names) throws IOException {
        Loaded loaded = read(files, limits, names);
        List<String> failures = new ArrayList<>();
        for (RuleExample example : loaded.examples) {
            failures.addAll(example.run(loaded.rulebook, names));
        }
        if (!failures.isEmpty()) {
            throw new SettingsFault(failures);
        }
        return loaded;
    }

    /**
     * Reads files, in their order, without running their examples.
     *
     * @throws SettingsFault if there is a fault
     * @throws IOException if a file can't be read
     */
    public static Loaded read(List<Path> files, RuleLimits limits, KnownNames names) throws IOException {
        RuleLoader loader = new RuleLoader(limits, names);
        List<Section> sections = new ArrayList<>();
        for (Path file : files) {
            List<String> lines = Settings.lines(file, "a rules file");
            sections.addAll(SectionFile.read(file.toString(), lines, SectionKeys.KINDS, loader.faults.faults()));
        }
        return loader.build(sections, false);
    }

    /**
     * Reads the rules of a key scheme again, for their keys alone. Classes and tenants that are gone are allowed.
     *
     * @throws SettingsFault if the scheme can't be read
     */
    public static Rulebook readScheme(IdempotencyKeyScheme scheme, KnownNames names) throws SettingsFault {
        List<Section> sections = IdempotencyKeySchemeText.read(scheme);
        RuleLimits limits = IdempotencyKeySchemeText.limits(sections.get(0));
        RuleLoader loader = new RuleLoader(limits, names.uncheckedCopy());
        return loader.build(sections.subList(1, sections.size()), true).rulebook;
    }

    private Loaded build(List<Section> sections, boolean forScheme) throws SettingsFault {
        sections.forEach(section -> SectionKeys.check(section, faults));
        Map<String, RouteReader.KeyedRoute> routes =
                readAll(sections, "route", new RouteReader(expressions, faults)::read);
        Map<String, LimitReader.Limit> rateLimits =
                readAll(sections, "limit", new LimitReader(expressions, faults)::read);
        RuleReader ruleReader = new RuleReader(names, routes, rateLimits, forScheme, expressions, faults);
        List<RuleTable> tables = tables(sections, ruleReader);
        checkCost();
        Optional<IdempotencyKeyScheme> keyScheme = keyScheme(sections);
        List<RuleExample> examples = sections.stream()
                .filter(section -> section.kind().equals("example"))
                .map(section -> RuleExample.parse(section, faults))
                .toList();
        faults.throwIfAny();
        Map<String, KeyedRateLimiter> limiters = new LinkedHashMap<>();
        rateLimits.forEach((name, limit) -> limiters.put(name, limit.limiter()));
        Rulebook rulebook = new Rulebook(limits, names, expressions.scope(), tables, limiters, keyScheme);
        return new Loaded(rulebook, examples, faults.warnings(), expressions.maxRuleCost());
    }

    /** The sections of a kind as read, by name and in their order. */
    private static <T> Map<String, T> readAll(List<Section> sections, String kind, Function<Section, T> reader) {
        Map<String, T> byName = new LinkedHashMap<>();
        for (Section section : sections) {
            if (section.kind().equals(kind)) {
                byName.put(section.name(), reader.apply(section));
            }
        }
        return byName;
    }

    /** The tables that have rules, in their order. */
    private List<RuleTable> tables(List<Section> sections, RuleReader ruleReader) {
        List<RuleTable> tables = new ArrayList<>();
        String name = DEFAULT_TABLE;
        boolean firstMatchOnly = true;
        boolean rejectsOnError = false;
        List<Rule> rules = new ArrayList<>();
        for (Section section : sections) {
            if (section.kind().equals("rule")) {
                rules.add(ruleReader.read(section));
            } else if (section.kind().equals("table")) {
                tables.add(new RuleTable(name, firstMatchOnly, rejectsOnError, rules));
                name = section.name();
                firstMatchOnly = !isWord(section, "match", "all", "first");
                rejectsOnError = isWord(section, "on_error", "refuse", "skip");
                rules = new ArrayList<>();
            }
        }
        tables.add(new RuleTable(name, firstMatchOnly, rejectsOnError, rules));
        tables.removeIf(table -> table.rules().isEmpty());
        return tables;
    }

    /** Whether the value of a key is this word and not the default, which is the only other. */
    private boolean isWord(Section section, String key, String word, String defaultWord) {
        return SectionValues.word(section, key, defaultWord, Set.of(word, defaultWord), faults)
                .equals(word);
    }

    private void checkCost() {
        long cost = expressions.maxRuleCost();
        if (cost > limits.requestBudget()) {
            faults.add("rules: all of them may cost " + cost + " units for one request, allowed: "
                    + limits.requestBudget() + " (rules.request_budget)");
        }
    }

    /** The key scheme of these sections; empty if no rule gives a key. */
    private Optional<IdempotencyKeyScheme> keyScheme(List<Section> sections) {
        boolean givesKeys = sections.stream().anyMatch(section -> section.kind().equals("rule") && section.has("key"));
        if (!givesKeys) {
            return Optional.empty();
        }
        IdempotencyKeyScheme scheme = IdempotencyKeyScheme.of(IdempotencyKeySchemeText.of(sections, limits));
        int length = scheme.text().length();
        if (length > IdempotencyKeyScheme.MAX_TEXT_CHARS) {
            faults.add("rules: what its keys stand on is " + length + " characters, allowed: "
                    + IdempotencyKeyScheme.MAX_TEXT_CHARS);
        }
        return Optional.of(scheme);
    }
}
