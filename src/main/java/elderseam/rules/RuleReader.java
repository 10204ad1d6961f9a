package elderseam.rules;

import elderseam.rules.cel.Expression;
import elderseam.rules.cel.Type;
import elderseam.settings.SectionFile.Section;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Reads {@code [rule NAME]} sections. */
final class RuleReader {
    private static final SectionValues.Range PRIORITY = new SectionValues.Range(0, 9);
    private static final String RESULT_KEYS =
            "class, tenant, destination, route, key, deadline, priority, refuse, limit";

    private final KnownNames names;
    private final Map<String, RouteReader.KeyedRoute> routes;
    private final Map<String, LimitReader.Limit> limits;
    private final boolean mayYieldNothing;
    private final RuleExpressions expressions;
    private final RuleFaults faults;

    /**
     * @param mayYieldNothing whether a rule may have no result: a key scheme omits those that don't matter for keys
     */
    RuleReader(
            KnownNames names,
            Map<String, RouteReader.KeyedRoute> routes,
            Map<String, LimitReader.Limit> limits,
            boolean mayYieldNothing,
            RuleExpressions expressions,
            RuleFaults faults) {
        this.names = names;
        this.routes = routes;
        this.limits = limits;
        this.mayYieldNothing = mayYieldNothing;
        this.expressions = expressions;
        this.faults = faults;
    }

    /** Reads one rule; what is wrong with it is added to the faults, in the order of these steps. */
    Rule read(Section section) {
        Optional<Expression> condition = expressions.expression(section, "when", Type.Plain.BOOL);
        Optional<RuleAction> setClass = setClass(section);
        Optional<RuleAction> setTenant = setTenant(section);
        Optional<RuleAction> setDestination = setDestination(section);
        Optional<RuleAction> shortenDeadline =
                expressions.program(section, "deadline", Type.Plain.DURATION).map(RuleActions.ShortenDeadline::new);
        Optional<RuleAction> reject =
                expressions.program(section, "refuse", Type.Plain.DURATION).map(RuleActions.Reject::new);
        Optional<RuleAction> setPriority = setPriority(section);
        Optional<RuleAction> setKey = setKey(section, condition);
        Optional<RuleAction> followRoute = followRoute(section);
        Optional<RuleAction> chargeLimit = chargeLimit(section);
        boolean yieldsNothing = section.values().keySet().stream().allMatch(key -> key.equals("when"));
        if (yieldsNothing && !mayYieldNothing) {
            faults.add(section, "yields nothing, allowed: at least one of " + RESULT_KEYS);
        }
        List<RuleAction> actions = Stream.of( // in this order they are evaluated, and the first error is reported
                        setClass,
                        setTenant,
                        setDestination,
                        setKey,
                        shortenDeadline,
                        reject,
                        followRoute,
                        chargeLimit,
                        setPriority)
                .flatMap(Optional::stream)
                .toList();
        return new Rule(section.name(), condition.map(Expression::program).orElse(null), actions);
    }

    /** A class has to be known when the rules are read: by it the dispatcher finds the deadline. */
    private Optional<RuleAction> setClass(Section section) {
        Optional<Expression> expression = expressions.expression(section, "class", Type.Plain.STRING);
        if (expression.isEmpty()) {
            return Optional.empty();
        }
        List<Object> literals = expression.get().outcomes();
        if (literals == null) {
            faults.add(section, "class", "may be anything, allowed: a literal, or ?: of literals");
        } else {
            for (Object name : literals) {
                if (names.classIndex((String) name) < 0) {
                    reportUnknown(section, "class", name, names.classes());
                }
            }
        }
        return Optional.of(new RuleActions.SetClass(expression.get().program(), names.classes()));
    }

    /** A tenant may be computed; if it is a literal, that is checked now. */
    private Optional<RuleAction> setTenant(Section section) {
        Optional<Expression> expression = expressions.expression(section, "tenant", Type.Plain.STRING);
        if (expression.isEmpty()) {
            return Optional.empty();
        }
        for (Object name : literals(expression.get())) {
            if (names.tenantIndex((String) name) < 0) {
                reportUnknown(section, "tenant", name, names.tenants());
            }
        }
        return Optional.of(new RuleActions.SetTenant(expression.get().program(), names.tenants()));
    }

    private void reportUnknown(Section section, String key, Object name, List<String> allowed) {
        faults.add(section, key, "'" + name + "' is no " + key + ", allowed: " + String.join(", ", allowed));
    }

    /** The values that an expression may have, if all of them are literals; otherwise none. */
    private static List<Object> literals(Expression expression) {
        List<Object> outcomes = expression.outcomes();
        return outcomes == null ? List.of() : outcomes;
    }

    private Optional<RuleAction> setDestination(Section section) {
        Optional<Expression> expression = expressions.expression(section, "destination", Type.Plain.INT);
        if (expression.isEmpty()) {
            return Optional.empty();
        }
        for (Object number : literals(expression.get())) {
            if (!RuleActions.isDestination((Long) number)) {
                faults.add(section, "destination", number + " is no destination, allowed: 0 to 999999999999999998");
            }
        }
        if (section.has("route")) {
            faults.add(section, "route", "stands beside destination, allowed: one of them");
        }
        return Optional.of(new RuleActions.SetDestination(expression.get().program()));
    }

    private Optional<RuleAction> setPriority(Section section) {
        if (!section.has("priority")) {
            return Optional.empty();
        }
        int priority = SectionValues.number(section, "priority", PRIORITY, RuleResult.DEFAULT_PRIORITY, faults);
        return Optional.of(new RuleActions.SetPriority(priority));
    }

    private Optional<RuleAction> setKey(Section section, Optional<Expression> condition) {
        Optional<Expression> key = expressions.expression(section, "key", Type.Plain.STRING);
        if (key.isEmpty()) {
            return Optional.empty();
        }
        differingVariable(key.get())
                .ifPresent(variable -> faults.add(
                        section,
                        "key",
                        "'" + variable
                                + "' is another for each copy of a message, allowed: what both copies have in common"));
        condition
                .flatMap(RuleReader::differingVariable)
                .ifPresent(variable -> faults.warn(
                        section,
                        "when",
                        "'" + variable + "' may be another for a second copy, which then has no key, or another"));
        return Optional.of(new RuleActions.SetKey(key.get().program()));
    }

    /** A variable of the expression that two duplicates may see differently. */
    private static Optional<String> differingVariable(Expression expression) {
        return expression.names().stream()
                .filter(RuleVariables::differsBetweenDuplicates)
                .findFirst();
    }

    private Optional<RuleAction> followRoute(Section section) {
        if (!section.has("route")) {
            return Optional.empty();
        }
        String text = section.text("route", "");
        int slash = text.indexOf('/');
        String name = slash < 0 ? text : text.substring(0, slash);
        String subset = slash < 0 ? "" : text.substring(slash + 1);
        RouteReader.KeyedRoute route = routes.get(name);
        if (route == null) {
            String allowed = routes.isEmpty() ? "one of a [route NAME]" : String.join(", ", routes.keySet());
            faults.add(section, "route", "no route '" + name + "', allowed: " + allowed);
            return Optional.empty();
        }
        if (!route.route().hasSubset(subset)) {
            faults.add(section, "route", "route " + name + " has no subset '" + subset + "'");
        }
        return Optional.of(new RuleActions.FollowRoute(route.route(), subset, route.key()));
    }

    private Optional<RuleAction> chargeLimit(Section section) {
        if (!section.has("limit")) {
            return Optional.empty();
        }
        String name = section.text("limit", "");
        LimitReader.Limit limit = limits.get(name);
        if (limit == null) {
            String allowed = limits.isEmpty() ? "one of a [limit NAME]" : String.join(", ", limits.keySet());
            faults.add(section, "limit", "no limit '" + name + "', allowed: " + allowed);
            return Optional.empty();
        }
        return Optional.of(new RuleActions.ChargeLimit(limit.limiter(), limit.key()));
    }
}
