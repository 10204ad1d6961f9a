package elderseam.rules;

import elderseam.rules.cel.Expression;
import elderseam.rules.cel.ExpressionFault;
import elderseam.rules.cel.Program;
import elderseam.rules.cel.Scope;
import elderseam.rules.cel.Type;
import elderseam.settings.SectionFile;
import elderseam.settings.SectionFile.Section;
import elderseam.settings.SectionFile.Value;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Rules files to a {@link Rulebook}: read, typed, bounded, compiled and tested, whole or not at all; every fault is told. */
public final class RuleLoader {
    /** What a reading came to. {@code warnings}: what is allowed and most likely not meant. */
    public record Loaded(Rulebook book, List<RuleExample> examples, List<String> warnings, long bound) {}

    private static final Map<String, Set<String>> KEYS = Map.of(
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
            "scheme",
            Set.of("zone", "body_bytes", "body_depth", "field_chars", "list_items"));
    private static final List<String> KINDS = List.of("table", "rule", "route", "limit", "example");
    private static final int MOST_FAULTS = 200;

    private final RuleLimits extent;
    private final KnownNames names;
    private final Scope scope;
    private final boolean scheme;
    private final List<String> faults = new ArrayList<>(), warnings = new ArrayList<>();
    private final Map<String, Route> routes = new LinkedHashMap<>();
    private final Map<String, Program> routesBy = new LinkedHashMap<>(), limitsPer = new LinkedHashMap<>();
    private final Map<String, KeyedRateLimiter> limits = new LinkedHashMap<>();
    private long bound;

    private RuleLoader(RuleLimits extent, KnownNames names, boolean scheme) {
        this.extent = extent;
        this.names = names;
        this.scheme = scheme;
        this.scope = RuleVariables.scope(extent);
    }

    /** Reads files, in that order, and runs their examples: one that fails is a fault. */
    public static Loaded load(List<Path> files, RuleLimits extent, KnownNames names) throws IOException {
        Loaded loaded = read(files, extent, names);
        List<String> failed = new ArrayList<>();
        loaded.examples.forEach(e -> failed.addAll(e.run(loaded.book, names)));
        if (!failed.isEmpty()) {
            throw new SettingsFault(failed);
        }
        return loaded;
    }

    /** The same without running the examples. */
    public static Loaded read(List<Path> files, RuleLimits extent, KnownNames names) throws IOException {
        RuleLoader l = new RuleLoader(extent, names, false);
        List<Section> sections = new ArrayList<>();
        for (Path file : files) {
            sections.addAll(SectionFile.read(file.toString(), Settings.lines(file, "a rules file"), KINDS, l.faults));
        }
        return l.load(sections);
    }

    /** What a scheme's text says, for its keys alone; names that are gone since do no harm. */
    public static Rulebook scheme(IdempotencyKeyScheme s, KnownNames names) throws IOException {
        List<String> faults = new ArrayList<>();
        List<Section> sections = SectionFile.read(
                "scheme " + s.name(), s.text().lines().toList(), List.of("table", "rule", "route", "scheme"), faults);
        Section head = sections.get(0);
        RuleLimits usual = RuleLimits.USUAL;
        RuleLimits e = new RuleLimits(
                java.time.ZoneId.of(head.text("zone", "UTC")),
                Integer.parseInt(head.text("body_bytes", "0")),
                Integer.parseInt(head.text("body_depth", "0")),
                Integer.parseInt(head.text("field_chars", "0")),
                Integer.parseInt(head.text("list_items", "0")),
                Long.MAX_VALUE >> 20,
                Long.MAX_VALUE >> 20,
                usual.windowS(),
                usual.rememberS());
        return new RuleLoader(e, names.open(), true).load(sections.subList(1, sections.size())).book;
    }

    /** The checked tree of one expression, as a text; faults as those of a file. */
    public static String explain(String text, RuleLimits extent) throws SettingsFault {
        Expression.Compiled c = Expression.compile(text, RuleVariables.scope(extent), Type.Plain.DYN, extent.budget());
        if (c.expression() == null) {
            throw new SettingsFault(
                    c.faults().stream().map(ExpressionFault::describe).toList());
        }
        return String.format(java.util.Locale.ROOT, "%-56s %-24s %s%n", "part", "type", "most units")
                + c.expression().explain() + "gives " + c.expression().type() + ", at most "
                + c.expression().bound() + " of " + extent.budget() + " units";
    }

    private Loaded load(List<Section> sections) throws IOException {
        sections.forEach(this::known);
        sections.stream().filter(s -> s.kind().equals("route")).forEach(this::route);
        sections.stream().filter(s -> s.kind().equals("limit")).forEach(this::limit);
        List<RuleTable> tables = new ArrayList<>();
        List<Rule> rules = new ArrayList<>();
        tables.add(new RuleTable("rules", true, false, rules));
        boolean keyed = false;
        for (Section s : sections) {
            if (s.kind().equals("table")) {
                rules = new ArrayList<>();
                tables.add(new RuleTable(
                        s.name(),
                        !word(s, "match", "first", Set.of("first", "all")).equals("all"),
                        word(s, "on_error", "skip", Set.of("skip", "refuse")).equals("refuse"),
                        rules));
            } else if (s.kind().equals("rule")) {
                rules.add(rule(s));
                keyed |= s.has("key");
            }
        }
        tables.removeIf(t -> t.rules.isEmpty());
        if (bound > extent.requestBudget()) {
            faults.add("rules: all of them may cost " + bound + " units for one request, allowed: "
                    + extent.requestBudget() + " (rules.request_budget)");
        }
        IdempotencyKeyScheme own =
                keyed ? IdempotencyKeyScheme.of(IdempotencyKeySchemeText.of(sections, extent)) : null;
        if (own != null && own.text().length() > IdempotencyKeyScheme.MOST_TEXT) {
            faults.add("rules: what its keys stand on is " + own.text().length() + " characters, allowed: "
                    + IdempotencyKeyScheme.MOST_TEXT);
        }
        List<RuleExample> examples = sections.stream()
                .filter(s -> s.kind().equals("example"))
                .map(s -> RuleExample.of(s, faults))
                .toList();
        if (!faults.isEmpty()) {
            throw new SettingsFault(faults.subList(0, Math.min(faults.size(), MOST_FAULTS)));
        }
        TenantRates rates = new TenantRates(names.told() ? names.tenants().size() : 1_000, extent.windowS());
        RuleInput arrival = new RuleInput(extent, scope, names.classes(), names.tenants(), rates);
        return new Loaded(
                new Rulebook(extent, names.classes(), names.tenants(), tables, limits, arrival, rates, own),
                examples,
                warnings,
                bound);
    }

    private void known(Section s) {
        Set<String> allowed = KEYS.getOrDefault(s.kind(), Set.of());
        s.values().forEach((key, values) -> {
            boolean subset = s.kind().equals("route") && key.matches("subset_[a-z0-9_]+");
            boolean again = s.kind().equals("example") && key.equals("header");
            if (!s.kind().equals("unknown") && !allowed.contains(key) && !subset) {
                faults.add(s.place(values.get(0), key) + "unknown key, allowed: "
                        + String.join(", ", allowed.stream().sorted().toList())
                        + (s.kind().equals("route") ? ", subset_NAME" : ""));
            } else if (values.size() > 1 && !again) {
                faults.add(s.place(values.get(1), key) + "told at line "
                        + values.get(0).line() + " already, allowed: once");
            }
        });
    }

    private String word(Section s, String key, String absent, Set<String> allowed) {
        String text = s.text(key, absent);
        if (!allowed.contains(text)) {
            faults.add(s.place(s.value(key), key) + "'" + text + "' can't be used, allowed: "
                    + String.join(" or ", allowed.stream().sorted().toList()));
        }
        return text;
    }

    private double number(Section s, String key, double least, double most, double absent) {
        String text = s.text(key, "");
        double v = text.matches("\\d{1,9}(\\.\\d{1,9})?") ? Double.parseDouble(text) : -1;
        if (s.has(key) ? v < least || v > most : Double.isNaN(absent)) {
            faults.add((s.has(key)
                            ? s.place(s.value(key), key) + "'" + text + "' can't be used"
                            : s.place() + key + " is missing")
                    + ", allowed: " + least + " to " + most);
            return least;
        }
        return s.has(key) ? v : absent;
    }

    // ---------------------------------------------------------------- expressions

    /** The expression of a value, or null with its faults told. */
    private Expression expression(Section s, String key, Type gives) {
        Value v = s.value(key);
        if (v == null) {
            return null;
        }
        Expression.Compiled c = Expression.compile(v.text(), scope, gives, extent.budget());
        for (ExpressionFault f : c.faults()) {
            int line = v.line() + f.line() - 1, column = f.line() == 1 ? v.column() + f.column() - 1 : f.column();
            String[] shown = f.describe().split("\n", 2);
            faults.add(s.file() + ":" + line + ":" + column + ": " + s.kind() + "." + s.name() + "." + key + ": "
                    + f.message() + (shown.length > 1 ? "\n" + shown[1] : ""));
        }
        if (c.expression() == null) {
            return null;
        }
        bound += s.kind().equals("rule") ? c.expression().bound() : 0;
        return c.expression();
    }

    private Program program(Section s, String key, Type gives) {
        Expression e = expression(s, key, gives);
        return e == null ? null : e.program();
    }

    private Rule rule(Section s) {
        Expression when = expression(s, "when", Type.Plain.BOOL);
        Rule r = new Rule(s.name(), when == null ? null : when.program());
        r.cls = named(s, "class", true);
        r.tenant = named(s, "tenant", false);
        r.destination = destination(s);
        r.deadline = program(s, "deadline", Type.Plain.DURATION);
        r.refuse = program(s, "refuse", Type.Plain.DURATION);
        r.priority = s.has("priority") ? (int) number(s, "priority", 0, 9, 5) : -1;
        Expression key = expression(s, "key", Type.Plain.STRING);
        if (key != null) {
            r.key = key.program();
            key.names().stream()
                    .filter(RuleVariables::passing)
                    .findFirst()
                    .ifPresent(n -> faults.add(s.place(s.value("key"), "key") + "'" + n
                            + "' is another for each copy of a message, allowed: what both copies have in common"));
            if (when != null) {
                when.names().stream()
                        .filter(RuleVariables::passing)
                        .findFirst()
                        .ifPresent(n -> warnings.add(s.place(s.value("when"), "when") + "'" + n
                                + "' may be another for a second copy, which then has no key, or another"));
            }
        }
        routed(s, r);
        limited(s, r);
        if (!scheme && s.values().keySet().stream().allMatch(k -> k.equals("when"))) {
            faults.add(
                    s.place()
                            + "yields nothing, allowed: at least one of class, tenant, destination, route, key, deadline, priority, refuse, limit");
        }
        return r;
    }

    /** A class or a tenant: literals are checked now; a class must be a literal wherever it ends. */
    private Program named(Section s, String key, boolean constant) {
        Expression e = expression(s, key, Type.Plain.STRING);
        if (e == null) {
            return null;
        }
        List<Object> all = e.outcomes();
        if (all == null && constant) {
            faults.add(s.place(s.value(key), key) + "may be anything, allowed: a literal, or ?: of literals");
        }
        for (Object o : all == null ? List.of() : all) {
            if ((constant ? names.cls((String) o) : names.tenant((String) o)) < 0) {
                faults.add(s.place(s.value(key), key) + "'" + o + "' is no " + key + ", allowed: "
                        + String.join(", ", constant ? names.classes() : names.tenants()));
            }
        }
        return e.program();
    }

    private Program destination(Section s) {
        Expression e = expression(s, "destination", Type.Plain.INT);
        List<Object> all = e == null ? null : e.outcomes();
        for (Object o : all == null ? List.of() : all) {
            if (!Rulebook.destination((Long) o)) {
                faults.add(s.place(s.value("destination"), "destination") + o
                        + " is no destination, allowed: 0 to 999999999999999998");
            }
        }
        if (e != null && s.has("route")) {
            faults.add(s.place(s.value("route"), "route") + "stands beside destination, allowed: one of them");
        }
        return e == null ? null : e.program();
    }

    private void routed(Section s, Rule r) {
        if (!s.has("route")) {
            return;
        }
        String[] parts = s.text("route", "").split("/", 2);
        r.route = routes.get(parts[0]);
        r.subset = parts.length > 1 ? parts[1] : "";
        r.routeBy = routesBy.get(parts[0]);
        if (r.route == null) {
            faults.add(s.place(s.value("route"), "route") + "no route '" + parts[0] + "', allowed: "
                    + (routes.isEmpty() ? "one of a [route NAME]" : String.join(", ", routes.keySet())));
        } else if (!r.route.has(r.subset)) {
            faults.add(s.place(s.value("route"), "route") + "route " + parts[0] + " has no subset '" + r.subset + "'");
        }
    }

    private void limited(Section s, Rule r) {
        if (s.has("limit")) {
            r.limit = limits.get(s.text("limit", ""));
            r.limitBy = limitsPer.get(s.text("limit", ""));
            if (r.limit == null) {
                faults.add(s.place(s.value("limit"), "limit") + "no limit '" + s.text("limit", "") + "', allowed: "
                        + (limits.isEmpty() ? "one of a [limit NAME]" : String.join(", ", limits.keySet())));
            }
        }
    }

    // ---------------------------------------------------------------- limits and routes

    private void limit(Section s) {
        double rate = number(s, "rate_per_s", 0.0001, 100_000, Double.NaN);
        int burst = (int) number(s, "burst", 1, 1_000_000, 1), keys = (int) number(s, "keys", 1, 100_000, 10_000);
        Program per = s.has("per")
                ? program(s, "per", Type.Plain.STRING)
                : Expression.compile("''", scope, Type.Plain.STRING, 10)
                        .expression()
                        .program();
        limits.put(s.name(), new KeyedRateLimiter(s.name(), Math.max(0.0001, rate), Math.max(1, burst), keys));
        limitsPer.put(s.name(), per);
    }

    private void route(Section s) {
        List<Route.Member> members = new ArrayList<>();
        for (String w : s.text("to", "").split("[ \n]+")) {
            if (w.matches("\\d{1,18}(\\*\\d{1,6}(\\.\\d{1,3})?)?") && !w.endsWith("*0")) {
                String[] part = w.split("\\*");
                members.add(
                        new Route.Member(Long.parseLong(part[0]), part.length > 1 ? Double.parseDouble(part[1]) : 1));
            } else {
                faults.add((s.has("to") ? s.place(s.value("to"), "to") : s.place()) + "'" + w
                        + "' is no member, allowed: DESTINATION or DESTINATION*WEIGHT, apart by spaces");
            }
        }
        if (members.stream().map(Route.Member::destination).distinct().count() < members.size()) {
            faults.add(s.place(s.value("to"), "to") + "a destination stands twice, allowed: once");
        }
        Map<String, List<Long>> subsets = new LinkedHashMap<>();
        s.values().forEach((key, v) -> {
            if (key.startsWith("subset_")) {
                List<Long> of = destinations(s, key);
                if (!members.stream().map(Route.Member::destination).toList().containsAll(of) || of.isEmpty()) {
                    faults.add(s.place(v.get(0), key) + "names what is not in 'to', allowed: members of the route");
                }
                subsets.put(key.substring(7), of);
            }
        });
        String header = s.text("header", "").toLowerCase(java.util.Locale.ROOT);
        if (!header.matches("[a-z0-9-]*")) {
            faults.add(s.place(s.value("header"), "header") + "'" + header + "' is no name of a header");
        }
        Program by = s.has("by")
                ? program(s, "by", Type.Plain.STRING)
                : Expression.compile("message.id", scope, Type.Plain.STRING, 1_000)
                        .expression()
                        .program();
        routes.put(s.name(), new Route(s.name(), members, subsets, destinations(s, "fallback"), canary(s), header));
        routesBy.put(s.name(), by);
    }

    private List<Long> destinations(Section s, String key) {
        List<Long> all = new ArrayList<>();
        for (String w :
                s.text(key, "").isBlank() ? new String[0] : s.text(key, "").split("[ \n]+")) {
            if (w.matches("\\d{1,18}")) {
                all.add(Long.parseLong(w));
            } else {
                faults.add(s.place(s.value(key), key) + "'" + w
                        + "' is no destination, allowed: whole numbers apart by spaces");
            }
        }
        return all;
    }

    private Route.Canary canary(Section s) {
        if (!s.has("canary")) {
            return null;
        }
        List<Long> to = destinations(s, "canary");
        double[] steps = new double[0];
        long from = 0, every = 0;
        try {
            steps = java.util.Arrays.stream(s.text("canary_steps", "").strip().split("[ \n]+"))
                    .mapToDouble(Double::parseDouble)
                    .toArray();
            from = java.time.OffsetDateTime.parse(s.text("canary_from", ""))
                    .toInstant()
                    .toEpochMilli();
            every = java.time.Duration.parse("PT" + s.text("canary_every", "")).toMillis();
        } catch (NumberFormatException | java.time.DateTimeException e) {
            faults.add(s.place(s.value("canary"), "canary")
                    + "lacks its steps or has unusable ones, allowed: canary_steps in percent apart by spaces, canary_from a time "
                    + "such as 2026-12-01T08:00:00Z, canary_every such as 10M or 1H");
            return null;
        }
        boolean rising = steps.length > 0 && steps[0] >= 0 && steps[steps.length - 1] <= 100;
        for (int i = 1; i < steps.length; i++) {
            rising &= steps[i] >= steps[i - 1];
        }
        if (!rising || every < 1_000 || to.size() != 1) {
            faults.add(
                    s.place(s.value("canary"), "canary")
                            + "allowed: one destination, canary_steps from 0 to 100 that do not fall, canary_every of a second or more");
            return null;
        }
        return new Route.Canary(to.get(0), steps, from, every);
    }
}
