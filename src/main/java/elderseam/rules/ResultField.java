package elderseam.rules;

import java.math.BigDecimal;
import java.util.List;

/** A part of what rules make of a request, as {@code rules eval} prints it and examples expect it, in that order. */
public enum ResultField {
    CLASS("class"),
    TENANT("tenant"),
    DESTINATION("destination"),
    KEY("key"),
    DEADLINE("deadline"),
    PRIORITY("priority"),
    REJECTION("refuse"),
    LIMITS("limits");

    private static final String NONE = "none";
    private static final int NANO_DIGITS = 9;

    private final String label;

    ResultField(String label) {
        this.label = label;
    }

    /** The field's name in the output and in rules files. */
    public String label() {
        return label;
    }

    /** The key of an example that expects a value of this field. */
    String expectationKey() {
        return "expect_" + label;
    }

    /** The field's value as text; {@code none} where there is none. */
    String format(RuleResult result, KnownNames names) {
        return switch (this) {
            case CLASS -> result.classIndex < 0 ? NONE : names.classes().get(result.classIndex);
            case TENANT -> result.tenantIndex < 0 ? NONE : names.tenants().get(result.tenantIndex);
            case DESTINATION -> Long.toString(result.destination);
            case KEY -> result.key.isEmpty() ? NONE : result.key;
            case DEADLINE -> result.deadlineNs == RuleResult.NO_DEADLINE ? NONE : seconds(result.deadlineNs);
            case PRIORITY -> Integer.toString(result.priority);
            case REJECTION -> result.isRejected() ? seconds(result.retryAfterNs) : NONE;
            case LIMITS -> result.charges.isEmpty() ? NONE : limits(result.charges);
        };
    }

    private static String limits(List<RuleResult.Charge> charges) {
        List<String> limits = charges.stream()
                .map(charge -> charge.limiter().name + "(" + charge.key() + ")")
                .toList();
        return String.join(" ", limits);
    }

    private static String seconds(long ns) {
        return BigDecimal.valueOf(ns, NANO_DIGITS).stripTrailingZeros().toPlainString() + "s";
    }
}
