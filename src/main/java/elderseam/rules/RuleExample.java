package elderseam.rules;

import elderseam.settings.SectionFile.Section;
import elderseam.settings.SectionFile.Value;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** An example beside the rules: a request, and what the rules should make of it. */
public final class RuleExample {
    private static final List<String> EXPECTATION_KEYS = Arrays.stream(ResultField.values())
            .map(ResultField::expectationKey)
            .sorted()
            .toList();

    /** The keys that an example's section may have. */
    static final Set<String> KEYS = Stream.concat(
                    EXPECTATION_KEYS.stream(), Stream.of("request", "header", "body", "state", "at"))
            .collect(Collectors.toUnmodifiableSet());

    private final Section section;
    private final SampleRequest request;

    private RuleExample(Section section, SampleRequest request) {
        this.section = section;
        this.request = request;
    }

    /** Reads an example; what is wrong with it is added to the faults. */
    static RuleExample parse(Section section, RuleFaults faults) {
        List<String> headers = section.values().getOrDefault("header", List.of()).stream()
                .map(Value::text)
                .toList();
        List<String> problems = new ArrayList<>();
        SampleRequest request =
                SampleRequest.of(section.text("request", ""), headers, section.text("body", ""), problems);
        request.setState(section.text("state", ""), problems);
        if (section.has("at")) {
            request.setTime(section.text("at", ""), problems);
        }
        if (EXPECTATION_KEYS.stream().noneMatch(section::has)) {
            problems.add("expects nothing, allowed: at least one of " + String.join(", ", EXPECTATION_KEYS));
        }
        problems.forEach(problem -> faults.add(section, problem));
        return new RuleExample(section, request);
    }

    /** The name of the example's section. */
    public String name() {
        return section.name();
    }

    /** Runs the example; returns what is not as expected, a line each with its place. Empty if the example holds. */
    public List<String> run(Rulebook rulebook, KnownNames names) {
        SampleResult result = SampleResult.of(rulebook, names, request);
        List<String> failures = new ArrayList<>();
        result.values().forEach((field, actual) -> {
            String key = field.expectationKey();
            String expected = section.text(key, actual);
            if (!expected.equals(actual)) {
                failures.add(section.place(section.value(key), key) + "expected " + expected + ", got " + actual + " ("
                        + String.join("; ", result.trace()) + ")");
            }
        });
        return failures;
    }
}
