package elderseam.rules;

import elderseam.core.ActiveRequest;
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
 * The values of the variables for one message: what its front end knows, what the tables before made of it, and the
 * dispatcher's state. Reused for each message; the body is parsed when the first rule reads a field of it. Confined to
 * the thread that evaluates rules.
 */
final class RuleInput extends EvaluationInputs {
    private static final EvaluationError TOO_LONG =
            new EvaluationError("a value above " + RuleLimits.MAX_HEADER_CHARS + " characters");

    private final KnownNames names;
    private final TenantRates rates;
    private final LocalCalendar calendar;
    private final JsonFieldExtractor bodyFields; // null if no rule reads the body
    private final int[] fieldOfVariable; // the extractor's number of a field, by the variable's number

    private ActiveRequest.Message message;
    private RequestAttributes attributes;
    private RuleEnvironment environment;
    private long nowNs;
    private long wallMs;
    private Object[] body; // its fields; null until one is read
    private int classIndex;
    private int tenantIndex;
    private long destination;

    /** For rules that were compiled against this scope; no expression may be compiled against it afterwards. */
    RuleInput(RuleLimits limits, Scope scope, KnownNames names, TenantRates rates) {
        this.names = names;
        this.rates = rates;
        this.calendar = new LocalCalendar(limits.zone());
        this.fieldOfVariable = new int[scope.size()];
        List<List<String>> paths = new ArrayList<>();
        for (Map.Entry<Integer, List<String>> field : scope.fields().entrySet()) {
            fieldOfVariable[field.getKey()] = paths.size();
            paths.add(field.getValue());
        }
        this.bodyFields = paths.isEmpty() ? null : new JsonFieldExtractor(limits, paths);
    }

    /**
     * Begins with another message.
     *
     * @param nowNs of the dispatcher's clock
     * @param wallMs milliseconds since the epoch
     */
    void begin(
            ActiveRequest.Message message,
            RequestAttributes attributes,
            RuleEnvironment environment,
            long nowNs,
            long wallMs) {
        this.message = message;
        this.attributes = attributes;
        this.environment = environment;
        this.nowNs = nowNs;
        this.wallMs = wallMs;
        this.body = null;
        this.classIndex = message.classIndex();
        this.tenantIndex = message.tenantIndex();
        this.destination = message.destination();
    }

    /** From now on the message is seen as a table has changed it. */
    void update(RuleResult result) {
        classIndex = result.classIndex;
        tenantIndex = result.tenantIndex;
        destination = result.destination;
    }

    RequestAttributes attributes() {
        return attributes;
    }

    RuleEnvironment environment() {
        return environment;
    }

    /** Milliseconds since the epoch. */
    long wallMs() {
        return wallMs;
    }

    /** Of the dispatcher's clock. */
    long nowNs() {
        return nowNs;
    }

    @Override
    protected Object value(int variable) {
        return switch (variable) {
            case RuleVariables.FRONT -> attributes.frontend();
            case RuleVariables.METHOD -> attributes.method();
            case RuleVariables.PATH -> bounded(attributes.path());
            case RuleVariables.HEADERS -> attributes.headers();
            case RuleVariables.SOURCE -> attributes.clientAddress();
            case RuleVariables.ID -> message.id();
            case RuleVariables.CLASS -> name(names.classes(), classIndex);
            case RuleVariables.TENANT -> name(names.tenants(), tenantIndex);
            case RuleVariables.KEY -> message.idempotencyKey();
            case RuleVariables.EVENT -> attributes.eventAttributes();
            case RuleVariables.BREAKER -> breakerName(environment.breaker(destination));
            case RuleVariables.REMAINING -> Duration.ofNanos(Math.max(0, message.deadline() - nowNs));
            case RuleVariables.WAIT -> Duration.ofNanos(environment.retryAfterNs(destination));
            case RuleVariables.NOW -> Instant.ofEpochMilli(wallMs);
            case RuleVariables.RESENT -> boolValue(variable);
            case RuleVariables.RATE, RuleVariables.SHARE -> doubleValue(variable);
            default -> variable >= RuleVariables.COUNT ? bodyField(variable) : (Object) intValue(variable);
        };
    }

    private static Object bounded(String text) {
        return text.length() > RuleLimits.MAX_HEADER_CHARS ? TOO_LONG : text;
    }

    private static String name(List<String> names, int index) {
        return index < 0 ? "" : names.get(index);
    }

    private static String breakerName(RuleEnvironment.Breaker breaker) {
        return switch (breaker) {
            case CLOSED -> "closed";
            case HALF_OPEN -> "half_open";
            case OPEN -> "open";
        };
    }

    private Object bodyField(int variable) {
        if (body == null) {
            body = bodyFields.extract(attributes.body());
        }
        return body[fieldOfVariable[variable]];
    }

    @Override
    protected long intValue(int variable) {
        return switch (variable) {
            case RuleVariables.SIZE -> attributes.body().length;
            case RuleVariables.DESTINATION -> destination;
            case RuleVariables.IN_FLIGHT -> environment.attemptsInFlight(destination);
            case RuleVariables.HELD -> environment.requestsHeld();
            default ->
                variable >= RuleVariables.YEAR && variable <= RuleVariables.DAYS_LEFT
                        ? calendar.part(variable, wallMs)
                        : super.intValue(variable);
        };
    }

    @Override
    protected double doubleValue(int variable) {
        return switch (variable) {
            case RuleVariables.RATE -> tenantRate();
            case RuleVariables.SHARE -> environment.tenantQuota(tenantIndex);
            default -> super.doubleValue(variable);
        };
    }

    private double tenantRate() {
        double measured = environment.tenantRate(tenantIndex);
        return measured >= 0 ? measured : rates.perSecond(tenantIndex, nowNs);
    }

    @Override
    protected boolean boolValue(int variable) {
        return variable == RuleVariables.RESENT ? message.resubmitted() : super.boolValue(variable);
    }
}
