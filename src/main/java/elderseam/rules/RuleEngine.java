package elderseam.rules;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.RequestAttributes;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What is made of each message: by the rulebook in place, and, for keys, by the earlier ones of which keys are remembered. A message
 * that was taken on is never asked about again. Without I/O; one thread owns it.
 */
public final class RuleEngine {
    /** Earlier schemes that are asked about each message at the most. */
    public static final int MOST_REMEMBERED = 8;
    /** A message that is not urgent comes again after this while much is held. */
    private static final long LATER_NS = 1_000 * Clock.MS;

    /** {@code fault}: what is missing, or empty. */
    public record Decided(ActiveRequest.Message message, List<String> also, String fault) {}

    private final List<Long> deadlinesNs;
    private final long mostAgainNs;
    private final int mostHeld;
    private final RuleEnvironment state;
    private final Consumer<String> log;
    private final Map<IdempotencyKeyScheme, Rulebook> earlier = new LinkedHashMap<>();
    private final RuleResult ruling = new RuleResult(false), scratch = new RuleResult(false);
    private Rulebook book; // or null

    /**
     * @param deadlinesNs by class: for a message that is given another
     * @param mostAgainNs no time to come back is longer; 0 for any
     */
    public RuleEngine(
            List<Long> deadlinesNs, long mostAgainNs, int mostHeld, RuleEnvironment state, Consumer<String> log) {
        this.deadlinesNs = List.copyOf(deadlinesNs);
        this.mostAgainNs = mostAgainNs;
        this.mostHeld = mostHeld;
        this.state = state;
        this.log = log;
    }

    /** From the next message on this rulebook counts, or none; the keys of the last one are remembered. */
    public void put(Rulebook fresh) {
        Rulebook old = book;
        book = fresh;
        if (fresh != null) {
            fresh.log(log);
        }
        if (old != null && fresh != null) {
            fresh.inherit(old);
        }
        if (old != null
                && old.scheme() != null
                && (fresh == null || !old.scheme().equals(fresh.scheme()))) {
            remember(old.scheme(), old);
        }
        if (fresh != null && fresh.scheme() != null) {
            earlier.remove(fresh.scheme()); // back again
        }
    }

    /** Keys of this scheme are told too. */
    public void remember(IdempotencyKeyScheme scheme, Rulebook of) {
        earlier.put(scheme, of);
    }

    /** Of no others is any key remembered. */
    public void forget(Collection<String> others) {
        earlier.keySet().removeIf(s -> !others.contains(s.name()));
    }

    public int remembered() {
        return earlier.size();
    }

    public String counts() {
        return book == null ? "none" : book.counts();
    }

    /** The message as rules have it. Whether it may be taken on, {@link #admit} says, at once and before another message is decided. */
    public Decided decide(ActiveRequest.Message m, RequestAttributes facts, long now, long wallMs) {
        List<String> also = earlier.isEmpty() ? List.of() : new ArrayList<>();
        earlier.forEach((scheme, of) -> {
            of.decide(m, facts, state, now, wallMs, scratch);
            if (!scratch.key.isEmpty()) {
                also.add(scheme.same(scratch.key));
            }
        });
        ruling.begin(m.classIndex(), m.tenantIndex(), m.destination());
        if (book != null) {
            book.arrived(m.tenantIndex(), now);
            book.decide(m, facts, state, now, wallMs, ruling);
        }
        String fault = ruling.cls < 0
                ? "the type is no class of message, and no rule gives one"
                : ruling.destination < 0 ? "destination is missing, and no rule gives one" : "";
        return new Decided(fault.isEmpty() ? changed(m, now) : m, also, fault);
    }

    private ActiveRequest.Message changed(ActiveRequest.Message m, long now) {
        String same = ruling.key.isEmpty() ? "" : book.scheme().same(ruling.key);
        boolean other = ruling.cls != m.classIndex();
        long deadline = m.deadline();
        if (other) { // that of the class it came as may be longer
            deadline = Math.min(deadline, now + deadlinesNs.get(ruling.cls));
        }
        if (ruling.deadlineNs < deadline - now) {
            deadline = now + ruling.deadlineNs;
        }
        if (same.isEmpty()
                && !other
                && ruling.tenant == m.tenantIndex()
                && ruling.destination == m.destination()
                && deadline == m.deadline()) {
            return m;
        }
        long remember = same.isEmpty()
                ? m.rememberUntil()
                : Math.max(m.rememberUntil(), now + book.extent().rememberS() * 1_000L * Clock.MS);
        // with a key, one that may have run is failed and not refused: its copy may come as a class that must not run
        // twice
        return new ActiveRequest.Message(
                m.id(),
                m.frontend(),
                ruling.cls,
                ruling.tenant,
                ruling.destination,
                deadline,
                remember,
                m.resubmitted(),
                m.retriesWithinKeyWindow() && same.isEmpty(),
                m.idempotencyKey(),
                m.body(),
                same);
    }

    /** How long the message that was decided last had better stay away; 0: it is to be taken on, and its limits have counted it. */
    public long admit(long now) {
        if (ruling.refuseNs >= 0) {
            return bounded(Math.max(1, ruling.refuseNs));
        }
        if (ruling.priority < RuleResult.USUAL_PRIORITY && state.held() >= mostHeld / 10.0 * (ruling.priority + 1)) {
            return bounded(LATER_NS);
        }
        return bounded(Rulebook.charge(ruling, now));
    }

    private long bounded(long ns) {
        return mostAgainNs > 0 ? Math.min(mostAgainNs, ns) : ns;
    }
}
