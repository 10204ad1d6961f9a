package elderseam.rules;

import elderseam.core.RequestAttributes;
import elderseam.rules.cel.EvaluationError;
import elderseam.rules.cel.EvaluationInputs;
import elderseam.rules.cel.Scope;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One message as rules see it: what its front knows, what the message is by now (a table sees what the tables before it made of it),
 * and how the dispatcher stands. Used again for each message; the body is read at the first rule that comes to a field of it.
 */
final class RuleInput extends EvaluationInputs {
    private static final EvaluationError LONG =
            new EvaluationError("a value above " + RuleLimits.HEADER_CHARS + " characters");

    private final List<String> classes, tenants;
    private final JsonFieldExtractor bodies;
    private final int[] fields; // of a name: its field's number
    private final Calendar calendar;
    private final TenantRates rates;
    private Object[] body;
    private RequestAttributes facts;
    private RuleEnvironment state;
    private long now, wallMs;
    String id, key;
    int cls, tenant;
    long destination, remainingNs;
    boolean resent;

    RuleInput(RuleLimits extent, Scope scope, List<String> classes, List<String> tenants, TenantRates rates) {
        this.classes = classes;
        this.tenants = tenants;
        this.rates = rates;
        this.calendar = new Calendar(extent.zone());
        this.fields = new int[scope.size()];
        List<List<String>> paths = new ArrayList<>();
        for (Map.Entry<Integer, List<String>> f : scope.fields().entrySet()) {
            fields[f.getKey()] = paths.size();
            paths.add(f.getValue());
        }
        this.bodies = paths.isEmpty() ? null : new JsonFieldExtractor(extent, paths);
    }

    /** Another message; {@code now} is of the dispatcher's clock in ns. */
    void begin(RequestAttributes facts, RuleEnvironment state, long now, long wallMs) {
        this.facts = facts;
        this.state = state;
        this.now = now;
        this.wallMs = wallMs;
        this.body = null;
    }

    RequestAttributes facts() {
        return facts;
    }

    RuleEnvironment state() {
        return state;
    }

    long wallMs() {
        return wallMs;
    }

    long now() {
        return now;
    }

    private static Object bounded(String s) {
        return s.length() > RuleLimits.HEADER_CHARS ? LONG : s;
    }

    @Override
    protected Object value(int name) {
        return switch (name) {
            case RuleVariables.FRONT -> facts.front();
            case RuleVariables.METHOD -> facts.method();
            case RuleVariables.PATH -> bounded(facts.path());
            case RuleVariables.HEADERS -> facts.headers();
            case RuleVariables.SOURCE -> facts.source();
            case RuleVariables.ID -> id;
            case RuleVariables.CLASS -> cls < 0 ? "" : classes.get(cls);
            case RuleVariables.TENANT -> tenant < 0 ? "" : tenants.get(tenant);
            case RuleVariables.KEY -> key;
            case RuleVariables.EVENT -> facts.attributes();
            case RuleVariables.BREAKER ->
                switch (state.breaker(destination)) {
                    case CLOSED -> "closed";
                    case HALF_OPEN -> "half_open";
                    case OPEN -> "open";
                };
            case RuleVariables.REMAINING -> Duration.ofNanos(remainingNs);
            case RuleVariables.WAIT -> Duration.ofNanos(state.waitNs(destination));
            case RuleVariables.NOW -> Instant.ofEpochMilli(wallMs);
            case RuleVariables.RESENT -> boolValue(name);
            case RuleVariables.RATE, RuleVariables.SHARE -> doubleValue(name);
            default -> name >= RuleVariables.NAMES ? field(name) : (Object) intValue(name);
        };
    }

    private Object field(int name) {
        if (body == null) {
            body = bodies.read(facts.body());
        }
        return body[fields[name]];
    }

    @Override
    protected long intValue(int name) {
        return switch (name) {
            case RuleVariables.SIZE -> facts.body().length;
            case RuleVariables.DESTINATION -> destination;
            case RuleVariables.IN_FLIGHT -> state.inFlight(destination);
            case RuleVariables.HELD -> state.held();
            default ->
                name >= RuleVariables.YEAR && name <= RuleVariables.DAYS_LEFT
                        ? calendar.part(name, wallMs)
                        : super.intValue(name);
        };
    }

    @Override
    protected double doubleValue(int name) {
        if (name == RuleVariables.RATE) {
            double told = state.rate(tenant);
            return told >= 0 ? told : rates.perSecond(tenant, now);
        }
        return name == RuleVariables.SHARE ? state.share(tenant) : super.doubleValue(name);
    }

    @Override
    protected boolean boolValue(int name) {
        return name == RuleVariables.RESENT ? resent : super.boolValue(name);
    }
}
