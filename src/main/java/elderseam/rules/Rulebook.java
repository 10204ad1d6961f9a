package elderseam.rules;

import elderseam.core.ActiveRequest;
import elderseam.core.RequestAttributes;
import elderseam.core.RequestDispatcher;
import elderseam.rules.cel.EvaluationError;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** All that one reading of the operator's rules came to. Decides without I/O; one thread owns it. */
public final class Rulebook {
    private static final long QUIET_NS = 10_000_000_000L; // between two words on the errors of one rule
    private static final int MOST_WORDS = 5; // a second, on all of them

    private final RuleLimits extent;
    private final List<String> classes, tenants;
    private final List<RuleTable> tables;
    private final Map<String, KeyedRateLimiter> limits;
    private final RuleInput arrival;
    private final TenantRates rates;
    private final IdempotencyKeyScheme scheme;
    private final IdentityHashMap<Rule, Long> told = new IdentityHashMap<>();
    private Consumer<String> log = words -> {};
    private long second, words;

    Rulebook(
            RuleLimits extent,
            List<String> classes,
            List<String> tenants,
            List<RuleTable> tables,
            Map<String, KeyedRateLimiter> limits,
            RuleInput arrival,
            TenantRates rates,
            IdempotencyKeyScheme scheme) {
        this.extent = extent;
        this.classes = classes;
        this.tenants = tenants;
        this.tables = tables;
        this.limits = limits;
        this.arrival = arrival;
        this.rates = rates;
        this.scheme = scheme;
    }

    /** Where errors of rules are told, at a bounded rate. */
    public void log(Consumer<String> log) {
        this.log = log;
    }

    RuleLimits extent() {
        return extent;
    }

    /** By what its keys are told again; null where no rule yields one. */
    public IdempotencyKeyScheme scheme() {
        return scheme;
    }

    public int rules() {
        return tables.stream().mapToInt(t -> t.rules.size()).sum();
    }

    /** A tenant's message has come. */
    void arrived(int tenant, long now) {
        rates.arrived(tenant, now);
    }

    /** What the tables make of a message; {@code now} of the dispatcher's clock, in ns. */
    void decide(
            ActiveRequest.Message m,
            RequestAttributes facts,
            RuleEnvironment state,
            long now,
            long wallMs,
            RuleResult into) {
        decide(
                m.id(),
                m.classIndex(),
                m.tenantIndex(),
                m.destination(),
                Math.max(0, m.deadline() - now),
                m.resubmitted(),
                m.idempotencyKey(),
                facts,
                state,
                now,
                wallMs,
                into);
    }

    void decide(
            String id,
            int cls,
            int tenant,
            long destination,
            long remainingNs,
            boolean resent,
            String key,
            RequestAttributes facts,
            RuleEnvironment state,
            long now,
            long wallMs,
            RuleResult into) {
        arrival.begin(facts, state, now, wallMs);
        arrival.id = id;
        arrival.cls = cls;
        arrival.tenant = tenant;
        arrival.destination = destination;
        arrival.remainingNs = remainingNs;
        arrival.resent = resent;
        arrival.key = key;
        into.begin(cls, tenant, destination);
        for (int i = 0; i < tables.size() && into.refuseNs < 0; i++) {
            tables.get(i).decide(arrival, into, this);
        }
    }

    /** How long a message had better stay away by the limits that it falls under; where it is 0 it has been counted under each. */
    static long charge(RuleResult r, long now) {
        long wait = 0;
        for (int i = 0; i < r.charges.size(); i++) {
            RuleResult.Charge c = r.charges.get(i);
            wait = Math.max(wait, c.limit().waitNs(c.key(), now));
        }
        for (int i = 0; wait == 0 && i < r.charges.size(); i++) {
            RuleResult.Charge c = r.charges.get(i);
            c.limit().take(c.key(), now);
        }
        return wait;
    }

    /** Limits of the same name go on where they stood, and so do the tenants' rates. */
    public void inherit(Rulebook old) {
        limits.forEach((name, b) -> {
            if (old.limits.containsKey(name)) {
                b.inherit(old.limits.get(name));
            }
        });
        rates.inherit(old.rates);
    }

    int cls(Object name) {
        return name instanceof String ? classes.indexOf(name) : -1;
    }

    int tenant(Object name) {
        return name instanceof String ? tenants.indexOf(name) : -1;
    }

    static boolean destination(long number) {
        return number >= 0 && number < RequestDispatcher.NO_DESTINATION;
    }

    void erred(Rule rule, EvaluationError e, long now) {
        Long last = told.get(rule);
        if (last != null && now - last < QUIET_NS) {
            return;
        }
        words = now - second > 1_000_000_000L ? 0 : words;
        second = words == 0 ? now : second;
        if (words++ < MOST_WORDS) {
            told.put(rule, now);
            log.accept("rules: rule " + rule.name + " ended in an error: " + e.message() + " (" + rule.errors
                    + " so far)");
        }
    }

    /** What each rule did so far, a line each. */
    public String counts() {
        StringBuilder all = new StringBuilder();
        for (RuleTable t : tables) {
            t.rules.forEach(r -> all.append(all.isEmpty() ? "" : ", ")
                    .append(r.name)
                    .append(' ')
                    .append(r.matched)
                    .append(" matched ")
                    .append(r.errors)
                    .append(" errors"));
        }
        limits.values()
                .forEach(b -> all.append(", limit ")
                        .append(b.name)
                        .append(' ')
                        .append(b.size())
                        .append(" keys ")
                        .append(b.crowded())
                        .append(" crowded"));
        return all.toString();
    }
}
