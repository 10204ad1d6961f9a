package elderseam.rules;

import elderseam.rules.cel.EvaluationError;
import elderseam.rules.cel.Program;
import java.time.Duration;

/** One rule: when it matches, and what it makes of a message then; each result an expression of its own. */
final class Rule {
    private static final int MOST_KEY = 512;

    final String name;
    final Program when; // null: always
    Program cls, tenant, destination, key, deadline, refuse, routeBy, limitBy;
    Route route;
    String subset = "";
    KeyedRateLimiter limit;
    int priority = -1;
    long matched, errors;

    // results of the last evaluation: they are set once all of them could be had
    private int clsResult, tenantResult;
    private long destinationResult, deadlineResult, refuseResult;
    private String keyResult, limitKey;

    Rule(String name, Program when) {
        this.name = name;
        this.when = when;
    }

    /** Whether it matches; {@code a.error()} tells where that could not be said. */
    boolean matches(RuleInput a) {
        return when == null || when.boolValue(a);
    }

    /** Evaluates every result; what went wrong, or null. */
    EvaluationError evaluate(RuleInput a, Rulebook book) {
        EvaluationError e = null;
        if (cls != null) {
            clsResult = book.cls(cls.value(a));
            e = a.error() != null ? a.error() : clsResult < 0 ? new EvaluationError("no such class") : null;
        }
        if (e == null && tenant != null) {
            tenantResult = book.tenant(tenant.value(a));
            e = a.error() != null ? a.error() : tenantResult < 0 ? new EvaluationError("no such tenant") : null;
        }
        if (e == null && destination != null) {
            destinationResult = destination.intValue(a);
            e = a.error() != null
                    ? a.error()
                    : Rulebook.destination(destinationResult)
                            ? null
                            : new EvaluationError("no destination: " + destinationResult);
        }
        if (e == null && key != null) {
            Object v = key.value(a);
            keyResult = v instanceof String s ? s : "";
            e = a.error() != null
                    ? a.error()
                    : keyResult.isEmpty() || keyResult.length() > MOST_KEY
                            ? new EvaluationError(
                                    "a key of " + keyResult.length() + " characters, allowed: 1 to " + MOST_KEY)
                            : null;
        }
        if (e == null && deadline != null) {
            deadlineResult = ns(deadline.value(a));
            e = a.error() != null ? a.error() : deadlineResult < 0 ? new EvaluationError("a deadline below 0") : null;
        }
        if (e == null && refuse != null) {
            refuseResult = ns(refuse.value(a));
            e = a.error() != null ? a.error() : refuseResult < 0 ? new EvaluationError("a time below 0") : null;
        }
        if (e == null && route != null) {
            e = route(a);
        }
        if (e == null && limit != null) {
            Object v = limitBy.value(a);
            limitKey = v instanceof String s ? s : "";
            e = a.error();
        }
        return e;
    }

    private EvaluationError route(RuleInput a) {
        Object by = routeBy.value(a);
        if (!(by instanceof String s)) {
            return a.error() != null ? a.error() : new EvaluationError("a route's key that is no string");
        }
        String told = route.header.isEmpty() ? "" : a.facts().headers().getOrDefault(route.header, "");
        destinationResult = route.destination(s, subset, told, a.wallMs(), a.state()::breaker);
        return destinationResult < 0
                ? new EvaluationError(
                        "'" + told + "' in " + route.header + " is no destination or subset of route " + route.name)
                : null;
    }

    private static long ns(Object v) {
        return v instanceof Duration d ? d.toSeconds() > 1_000_000 ? 1_000_000_000_000_000L : d.toNanos() : -1;
    }

    /** Sets what was evaluated. */
    void apply(RuleResult r) {
        if (cls != null) {
            r.cls = clsResult;
        }
        if (tenant != null) {
            r.tenant = tenantResult;
        }
        if (destination != null || route != null) {
            r.destination = destinationResult;
        }
        if (key != null) {
            r.key = keyResult;
        }
        if (deadline != null) {
            r.deadlineNs = Math.min(r.deadlineNs, deadlineResult);
        }
        if (priority >= 0) {
            r.priority = priority;
        }
        if (limit != null) {
            r.charges.add(new RuleResult.Charge(limit, limitKey));
        }
        if (refuse != null) {
            r.refuseNs = refuseResult;
            r.by = name;
        }
    }
}
