package elderseam.rules;

import elderseam.rules.cel.Program;
import elderseam.rules.cel.Type;
import elderseam.settings.SectionFile.Section;

/** Reads {@code [limit NAME]} sections. */
final class LimitReader {
    private static final SectionValues.Range RATE_PER_SECOND = new SectionValues.Range(0.0001, 100_000);
    private static final SectionValues.Range BURST = new SectionValues.Range(1, 1_000_000);
    private static final SectionValues.Range KEYS = new SectionValues.Range(1, 100_000);
    private static final int DEFAULT_BURST = 1;
    private static final int DEFAULT_KEYS = 10_000;

    /** One bucket for all messages. */
    private static final String DEFAULT_KEY = "''";

    private final RuleExpressions expressions;
    private final RuleFaults faults;

    /** A limiter, and the expression of the key by which a message is charged. */
    record Limit(KeyedRateLimiter limiter, Program key) {}

    LimitReader(RuleExpressions expressions, RuleFaults faults) {
        this.expressions = expressions;
        this.faults = faults;
    }

    /** Reads one limit; what is wrong with it is added to the faults. */
    Limit read(Section section) {
        double ratePerSecond = SectionValues.requiredNumber(section, "rate_per_s", RATE_PER_SECOND, faults);
        int burst = SectionValues.number(section, "burst", BURST, DEFAULT_BURST, faults);
        int keys = SectionValues.number(section, "keys", KEYS, DEFAULT_KEYS, faults);
        Program key = expressions
                .program(section, "per", Type.Plain.STRING)
                .orElseGet(() -> expressions.builtIn(DEFAULT_KEY, Type.Plain.STRING));
        return new Limit(new KeyedRateLimiter(section.name(), ratePerSecond, burst, keys), key);
    }
}
