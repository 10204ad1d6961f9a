package elderseam.rules;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.RequestAttributes;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Applies the rules in force to each new message, and computes its idempotency keys by earlier rules too, while any key
 * of those is remembered. Does no I/O and reads no clock; confined to the thread that evaluates rules.
 */
public final class RuleEngine {
    /** How many earlier key schemes are remembered at most; each costs an evaluation for each message. */
    public static final int MAX_EARLIER_SCHEMES = 8;

    /** Retry-After of a message of low priority while the dispatcher holds much. */
    private static final long LOW_PRIORITY_RETRY_AFTER_NS = 1_000 * Clock.MILLISECOND_NS;

    /** A message of priority p below the default is rejected while (p + 1) parts of the capacity are held. */
    private static final double PRIORITY_LEVELS = 10.0;

    private static final long NANOS_PER_SECOND = 1_000 * Clock.MILLISECOND_NS;

    /** What the rules make of a message. */
    public sealed interface Decision {}

    /**
     * The message has a class and a destination; whether it may be accepted, {@link #admit} tells.
     *
     * @param message as the rules changed it
     * @param alternateKeys its idempotency keys by earlier rules
     */
    public record Routed(ActiveRequest.Message message, List<String> alternateKeys) implements Decision {}

    /** Neither the message nor a rule says what class it has, or where it goes; {@code reason} tells which. */
    public record Incomplete(String reason) implements Decision {}

    private static final Incomplete NO_CLASS = new Incomplete("the type is no class of message, and no rule gives one");
    private static final Incomplete NO_DESTINATION = new Incomplete("destination is missing, and no rule gives one");

    private final List<Long> deadlinesNs;
    private final long maxRetryAfterNs;
    private final int maxHeld;
    private final RuleEnvironment environment;
    private final RuleErrorListener errorListener;
    private final Map<IdempotencyKeyScheme, Rulebook> earlierRules = new LinkedHashMap<>();
    private final RuleResult result = RuleResult.untraced(); // of the message decided last
    private final RuleResult earlierResult = RuleResult.untraced();
    private Rulebook rulebook; // null while there are no rules

    /**
     * @param deadlinesNs the longest deadline of each class, by its index
     * @param maxRetryAfterNs the longest Retry-After of a rejection; 0 for no bound
     * @param maxHeld how many requests the dispatcher may hold
     * @param errorListener gets the rules that end in an error, at a bounded rate
     */
    public RuleEngine(
            List<Long> deadlinesNs,
            long maxRetryAfterNs,
            int maxHeld,
            RuleEnvironment environment,
            RuleErrorListener errorListener) {
        this.deadlinesNs = List.copyOf(deadlinesNs);
        this.maxRetryAfterNs = maxRetryAfterNs;
        this.maxHeld = maxHeld;
        this.environment = environment;
        this.errorListener = errorListener;
    }

    /**
     * Puts rules in force from the next message on; empty for none. The keys of the rules before are remembered, and
     * their limits and rates go on in the new ones.
     */
    public void activate(Optional<Rulebook> rules) {
        Rulebook previous = rulebook;
        rulebook = rules.orElse(null);
        rules.ifPresent(fresh -> fresh.reportErrorsTo(errorListener));
        Optional<IdempotencyKeyScheme> scheme = rules.flatMap(Rulebook::keyScheme);
        if (previous != null) {
            rules.ifPresent(fresh -> fresh.inherit(previous));
            if (!previous.keyScheme().equals(scheme)) {
                previous.keyScheme().ifPresent(earlier -> rememberScheme(earlier, previous));
            }
        }
        scheme.ifPresent(earlierRules::remove); // it may be one of earlier that is back in force
    }

    /** Computes each message's key by these rules too. */
    public void rememberScheme(IdempotencyKeyScheme scheme, Rulebook rules) {
        earlierRules.put(scheme, rules);
    }

    /** Forgets the earlier schemes that have none of these names. */
    public void retainSchemes(Collection<String> names) {
        earlierRules.keySet().removeIf(scheme -> !names.contains(scheme.name()));
    }

    /** The number of earlier schemes that are remembered. */
    public int earlierSchemeCount() {
        return earlierRules.size();
    }

    /** How often each rule matched and ended in an error, as one line; {@code none} while there are no rules. */
    public String statistics() {
        return rulebook == null ? "none" : rulebook.statistics();
    }

    /**
     * Applies the rules to a message. {@link #admit} has to be called before the next message is decided.
     *
     * @param nowNs of the dispatcher's clock
     * @param wallMs milliseconds since the epoch
     */
    public Decision decide(ActiveRequest.Message message, RequestAttributes attributes, long nowNs, long wallMs) {
        List<String> alternateKeys =
                earlierRules.isEmpty() ? List.of() : keysByEarlierRules(message, attributes, nowNs, wallMs);
        result.begin(message.classIndex(), message.tenantIndex(), message.destination());
        if (rulebook != null) {
            rulebook.countArrival(message.tenantIndex(), nowNs);
            rulebook.decide(message, attributes, environment, nowNs, wallMs, result);
        }
        if (result.classIndex < 0) {
            return NO_CLASS;
        }
        if (result.destination < 0) {
            return NO_DESTINATION;
        }
        return new Routed(changed(message, nowNs), alternateKeys);
    }

    private List<String> keysByEarlierRules(
            ActiveRequest.Message message, RequestAttributes attributes, long nowNs, long wallMs) {
        List<String> keys = new ArrayList<>();
        earlierRules.forEach((scheme, rules) -> {
            rules.decide(message, attributes, environment, nowNs, wallMs, earlierResult);
            if (!earlierResult.key.isEmpty()) {
                keys.add(scheme.deduplicationKey(earlierResult.key));
            }
        });
        return keys;
    }

    /** The message with the result of the rules; the same object where they change nothing. */
    private ActiveRequest.Message changed(ActiveRequest.Message message, long nowNs) {
        boolean hasKey = !result.key.isEmpty();
        long deadline = deadline(message, nowNs);
        if (!hasKey
                && result.classIndex == message.classIndex()
                && result.tenantIndex == message.tenantIndex()
                && result.destination == message.destination()
                && deadline == message.deadline()) {
            return message;
        }
        long rememberUntil = message.rememberUntil();
        String deduplicationKey = "";
        if (hasKey) {
            rememberUntil = Math.max(rememberUntil, nowNs + rulebook.limits().rememberSeconds() * NANOS_PER_SECOND);
            deduplicationKey = rulebook.keyScheme().orElseThrow().deduplicationKey(result.key);
        }
        return new ActiveRequest.Message(
                message.id(),
                message.frontend(),
                result.classIndex,
                result.tenantIndex,
                result.destination,
                deadline,
                rememberUntil,
                message.resubmitted(),
                // With a key, a message that may have run fails instead of being rejected: a duplicate may come as a
                // class that must not run twice.
                message.retriesWithinKeyWindow() && !hasKey,
                message.idempotencyKey(),
                message.body(),
                deduplicationKey,
                message.orderKey());
    }

    /** The message's deadline, which another class or a rule can only shorten. */
    private long deadline(ActiveRequest.Message message, long nowNs) {
        long deadline = message.deadline();
        if (result.classIndex != message.classIndex()) {
            deadline = Math.min(deadline, nowNs + deadlinesNs.get(result.classIndex));
        }
        if (result.deadlineNs < deadline - nowNs) {
            deadline = nowNs + result.deadlineNs;
        }
        return deadline;
    }

    /**
     * Whether the message that was decided last may be accepted: 0 if so, and its limits are then charged; otherwise
     * the Retry-After of its rejection in nanoseconds.
     */
    public long admit(long nowNs) {
        if (result.isRejected()) {
            return bounded(Math.max(1, result.retryAfterNs));
        }
        if (result.priority < RuleResult.DEFAULT_PRIORITY
                && environment.requestsHeld() >= maxHeld / PRIORITY_LEVELS * (result.priority + 1)) {
            return bounded(LOW_PRIORITY_RETRY_AFTER_NS);
        }
        return bounded(Rulebook.charge(result, nowNs));
    }

    private long bounded(long retryAfterNs) {
        return maxRetryAfterNs > 0 ? Math.min(maxRetryAfterNs, retryAfterNs) : retryAfterNs;
    }
}
