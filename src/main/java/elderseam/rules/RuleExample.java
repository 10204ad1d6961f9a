package elderseam.rules;

import elderseam.settings.SectionFile.Section;
import elderseam.settings.SectionFile.Value;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A request and what it is to get, that stands beside the rules. */
public final class RuleExample {
    private static final Map<String, String> EXPECTS = Map.of(
            "expect_class",
            "class",
            "expect_tenant",
            "tenant",
            "expect_destination",
            "destination",
            "expect_key",
            "key",
            "expect_deadline",
            "deadline",
            "expect_priority",
            "priority",
            "expect_refuse",
            "refuse",
            "expect_limits",
            "limits");
    static final Set<String> KEYS;

    static {
        Set<String> all = new java.util.HashSet<>(EXPECTS.keySet());
        all.addAll(List.of("request", "header", "body", "state", "at"));
        KEYS = Set.copyOf(all);
    }

    private final Section section;
    private final SampleRequest sample;

    private RuleExample(Section section, SampleRequest sample) {
        this.section = section;
        this.sample = sample;
    }

    static RuleExample of(Section s, List<String> faults) {
        List<String> own = new ArrayList<>();
        List<String> headers = s.values().getOrDefault("header", List.of()).stream()
                .map(Value::text)
                .toList();
        SampleRequest sample = SampleRequest.of(s.text("request", ""), headers, s.text("body", ""), own);
        sample.state(s.text("state", ""), own);
        if (s.has("at")) {
            sample.at(s.text("at", ""), own);
        }
        if (s.values().keySet().stream().noneMatch(EXPECTS::containsKey)) {
            own.add("expects nothing, allowed: at least one of "
                    + String.join(", ", EXPECTS.keySet().stream().sorted().toList()));
        }
        own.forEach(f -> faults.add(s.place() + f));
        return new RuleExample(s, sample);
    }

    public String name() {
        return section.name();
    }

    /** What is not as expected, a line each; empty where it holds. */
    public List<String> run(Rulebook book, KnownNames names) {
        RuleResult r = new RuleResult(true);
        sample.decide(book, names, r);
        Map<String, String> got = shown(r, names);
        List<String> failed = new ArrayList<>();
        EXPECTS.forEach((key, what) -> {
            if (section.has(key) && !section.text(key, "").equals(got.get(what))) {
                failed.add(section.place(section.value(key), key) + "expected " + section.text(key, "") + ", got "
                        + got.get(what) + " (" + String.join("; ", r.trace) + ")");
            }
        });
        return failed;
    }

    /** What a ruling says, as examples and people read it. */
    static Map<String, String> shown(RuleResult r, KnownNames names) {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("class", r.cls < 0 ? "none" : names.classes().get(r.cls));
        all.put("tenant", r.tenant < 0 ? "none" : names.tenants().get(r.tenant));
        all.put("destination", Long.toString(r.destination));
        all.put("key", r.key.isEmpty() ? "none" : r.key);
        all.put("deadline", r.deadlineNs == Long.MAX_VALUE ? "none" : seconds(r.deadlineNs));
        all.put("priority", Integer.toString(r.priority));
        all.put("refuse", r.refuseNs < 0 ? "none" : seconds(r.refuseNs));
        all.put(
                "limits",
                r.charges.isEmpty()
                        ? "none"
                        : String.join(
                                " ",
                                r.charges.stream()
                                        .map(c -> c.limit().name + "(" + c.key() + ")")
                                        .toList()));
        return all;
    }

    private static String seconds(long ns) {
        return BigDecimal.valueOf(ns, 9).stripTrailingZeros().toPlainString() + "s";
    }

    /** What a request would get, and why. */
    public static Map<String, String> eval(
            RuleLoader.Loaded loaded, KnownNames names, SampleRequest sample, List<String> trace) {
        RuleResult r = new RuleResult(true);
        sample.decide(loaded.book(), names, r);
        trace.addAll(r.trace);
        return shown(r, names);
    }
}
