package elderseam.rules;

import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * What rules make of a {@link SampleRequest}.
 *
 * @param values of all fields, in their order, as text
 * @param trace which rules matched, or why not, a line each
 */
public record SampleResult(Map<ResultField, String> values, List<String> trace) {
    public SampleResult {
        values = Collections.unmodifiableMap(new EnumMap<>(values));
        trace = List.copyOf(trace);
    }

    /** Applies rules to a request. Limits are not charged. */
    public static SampleResult of(Rulebook rulebook, KnownNames names, SampleRequest request) {
        RuleResult result = RuleResult.traced();
        request.decide(rulebook, names, result);
        Map<ResultField, String> values = new EnumMap<>(ResultField.class);
        for (ResultField field : ResultField.values()) {
            values.put(field, field.format(result, names));
        }
        return new SampleResult(values, result.trace);
    }
}
