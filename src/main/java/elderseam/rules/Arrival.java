package elderseam.rules;

import elderseam.core.Facts;
import elderseam.rules.lang.Err;
import elderseam.rules.lang.Inputs;
import elderseam.rules.lang.Scope;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One message as rules see it: what its front knows, what the message is by now (a table sees what the tables before it made of it),
 * and how the dispatcher stands. Used again for each message; the body is read at the first rule that comes to a field of it.
 */
final class Arrival extends Inputs {
    private static final Err LONG = new Err("a value above " + Extent.HEADER_CHARS + " characters");

    private final Extent extent;
    private final List<String> classes, tenants;
    private final Bodies bodies;
    private final int[] fields; // of a name: its field's number
    private final Calendar calendar;
    private final Rates rates;
    private Object[] body;
    private Facts facts;
    private Surroundings state;
    private long now, wallMs;
    String id, key;
    int cls, tenant;
    long destination, remainingNs;
    boolean resent;

    Arrival(Extent extent, Scope scope, List<String> classes, List<String> tenants, Rates rates) {
        this.extent = extent;
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
        this.bodies = paths.isEmpty() ? null : new Bodies(extent, paths);
    }

    /** Another message; {@code now} is of the dispatcher's clock in ns. */
    void begin(Facts facts, Surroundings state, long now, long wallMs) {
        this.facts = facts;
        this.state = state;
        this.now = now;
        this.wallMs = wallMs;
        this.body = null;
    }

    Facts facts() {
        return facts;
    }

    Surroundings state() {
        return state;
    }

    long wallMs() {
        return wallMs;
    }

    long now() {
        return now;
    }

    private static Object bounded(String s) {
        return s.length() > Extent.HEADER_CHARS ? LONG : s;
    }

    @Override
    protected Object value(int name) {
        return switch (name) {
            case Vocabulary.FRONT -> facts.front();
            case Vocabulary.METHOD -> facts.method();
            case Vocabulary.PATH -> bounded(facts.path());
            case Vocabulary.HEADERS -> facts.headers();
            case Vocabulary.SOURCE -> facts.source();
            case Vocabulary.ID -> id;
            case Vocabulary.CLASS -> cls < 0 ? "" : classes.get(cls);
            case Vocabulary.TENANT -> tenant < 0 ? "" : tenants.get(tenant);
            case Vocabulary.KEY -> key;
            case Vocabulary.EVENT -> facts.attributes();
            case Vocabulary.BREAKER ->
                switch (state.breaker(destination)) {
                    case CLOSED -> "closed";
                    case HALF_OPEN -> "half_open";
                    case OPEN -> "open";
                };
            case Vocabulary.REMAINING -> Duration.ofNanos(remainingNs);
            case Vocabulary.WAIT -> Duration.ofNanos(state.waitNs(destination));
            case Vocabulary.NOW -> Instant.ofEpochMilli(wallMs);
            case Vocabulary.RESENT -> truth(name);
            case Vocabulary.RATE, Vocabulary.SHARE -> real(name);
            default -> name >= Vocabulary.NAMES ? field(name) : (Object) whole(name);
        };
    }

    private Object field(int name) {
        if (body == null) {
            body = bodies.read(facts.body());
        }
        return body[fields[name]];
    }

    @Override
    protected long whole(int name) {
        return switch (name) {
            case Vocabulary.SIZE -> facts.body().length;
            case Vocabulary.DESTINATION -> destination;
            case Vocabulary.IN_FLIGHT -> state.inFlight(destination);
            case Vocabulary.HELD -> state.held();
            default ->
                name >= Vocabulary.YEAR && name <= Vocabulary.DAYS_LEFT
                        ? calendar.part(name, wallMs)
                        : super.whole(name);
        };
    }

    @Override
    protected double real(int name) {
        if (name == Vocabulary.RATE) {
            double told = state.rate(tenant);
            return told >= 0 ? told : rates.perSecond(tenant, now);
        }
        return name == Vocabulary.SHARE ? state.share(tenant) : super.real(name);
    }

    @Override
    protected boolean truth(int name) {
        return name == Vocabulary.RESENT ? resent : super.truth(name);
    }
}
