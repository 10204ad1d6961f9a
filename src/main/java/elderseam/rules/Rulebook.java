package elderseam.rules;

import elderseam.core.ActiveRequest;
import elderseam.core.RequestAttributes;
import elderseam.rules.cel.Scope;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The rules of one reading of the operator's files: tables of rules, rate limits, and the tenants' request rates. Does
 * no I/O and reads no clock. Confined to the thread that evaluates rules, but for the constructor.
 */
public final class Rulebook {
    /** How many tenants' rates are measured where the configuration doesn't name the tenants. */
    private static final int UNCHECKED_TENANT_COUNT = 1_000;

    private final RuleLimits limits;
    private final List<RuleTable> tables;
    private final Map<String, KeyedRateLimiter> limiters;
    private final RuleInput input;
    private final TenantRates rates;
    private final Optional<IdempotencyKeyScheme> keyScheme;
    private final RuleErrorLog errorLog = new RuleErrorLog();

    /**
     * @param scope against which the expressions of the tables were compiled
     * @param limiters by name
     * @param keyScheme of the keys that the rules give; empty if they give none
     */
    Rulebook(
            RuleLimits limits,
            KnownNames names,
            Scope scope,
            List<RuleTable> tables,
            Map<String, KeyedRateLimiter> limiters,
            Optional<IdempotencyKeyScheme> keyScheme) {
        this.limits = limits;
        this.tables = List.copyOf(tables);
        this.limiters = limiters;
        this.keyScheme = keyScheme;
        int tenantCount = names.checked() ? names.tenants().size() : UNCHECKED_TENANT_COUNT;
        this.rates = new TenantRates(tenantCount, limits.rateWindowSeconds());
        this.input = new RuleInput(limits, scope, names, rates);
    }

    /** Reports rules that end in an error, at a bounded rate; without a listener they are only counted. */
    void reportErrorsTo(RuleErrorListener listener) {
        errorLog.reportTo(listener);
    }

    RuleLimits limits() {
        return limits;
    }

    /** The scheme of the idempotency keys that these rules give; empty if no rule gives one. */
    public Optional<IdempotencyKeyScheme> keyScheme() {
        return keyScheme;
    }

    /** The number of rules in all tables. */
    public int ruleCount() {
        int count = 0;
        for (RuleTable table : tables) {
            count += table.rules().size();
        }
        return count;
    }

    /** Counts a tenant's message towards its rate. */
    void countArrival(int tenantIndex, long nowNs) {
        rates.count(tenantIndex, nowNs);
    }

    /**
     * Applies the tables to a message, until one rejects it. No limit is charged.
     *
     * @param nowNs of the dispatcher's clock
     * @param wallMs milliseconds since the epoch
     * @param result overwritten
     */
    void decide(
            ActiveRequest.Message message,
            RequestAttributes attributes,
            RuleEnvironment environment,
            long nowNs,
            long wallMs,
            RuleResult result) {
        input.begin(message, attributes, environment, nowNs, wallMs);
        result.begin(message.classIndex(), message.tenantIndex(), message.destination());
        for (int i = 0; i < tables.size() && !result.isRejected(); i++) {
            tables.get(i).decide(input, result, errorLog);
        }
    }

    /**
     * Charges the limits that a message falls under: all of them, or none if one is exhausted. Returns how long the
     * message has to wait for them, in nanoseconds; 0 if they were charged.
     */
    static long charge(RuleResult result, long nowNs) {
        long waitNs = 0;
        for (int i = 0; i < result.charges.size(); i++) {
            RuleResult.Charge charge = result.charges.get(i);
            waitNs = Math.max(waitNs, charge.limiter().waitNs(charge.key(), nowNs));
        }
        if (waitNs > 0) {
            return waitNs;
        }
        for (int i = 0; i < result.charges.size(); i++) {
            RuleResult.Charge charge = result.charges.get(i);
            charge.limiter().take(charge.key(), nowNs);
        }
        return 0;
    }

    /** Takes over the tenants' rates of earlier rules, and the buckets of their limits of the same name. */
    void inherit(Rulebook earlier) {
        limiters.forEach((name, limiter) -> {
            KeyedRateLimiter earlierLimiter = earlier.limiters.get(name);
            if (earlierLimiter != null) {
                limiter.inherit(earlierLimiter);
            }
        });
        rates.inherit(earlier.rates);
    }

    /** How often each rule matched and ended in an error, and how full the limits are, as one line. */
    String statistics() {
        StringBuilder line = new StringBuilder();
        for (RuleTable table : tables) {
            for (Rule rule : table.rules()) {
                line.append(line.isEmpty() ? "" : ", ").append(rule.name);
                line.append(' ').append(rule.matchCount()).append(" matched ");
                line.append(rule.errorCount()).append(" errors");
            }
        }
        for (KeyedRateLimiter limiter : limiters.values()) {
            line.append(", limit ").append(limiter.name);
            line.append(' ').append(limiter.keyCount()).append(" keys ");
            line.append(limiter.sharedBucketUses()).append(" crowded");
        }
        return line.toString();
    }
}
