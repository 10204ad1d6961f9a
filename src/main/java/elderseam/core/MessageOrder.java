package elderseam.core;

import static elderseam.logging.LogField.field;

import elderseam.logging.EventLogger;
import elderseam.policy.OrderedKeyCounts;
import elderseam.policy.OrderedKeyView;
import elderseam.policy.PolicySettings;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reserves places in ordering keys for messages that are not currently submitted to the policy: unfinished messages of
 * an earlier process, duplicates that wait for another message's outcome, and completed messages whose client has yet
 * to be notified. Confined to the event-loop thread.
 */
final class MessageOrder {
    private static final EventLogger LOG = EventLogger.of(MessageOrder.class);

    private final PolicySettings settings;
    private final PolicyFacade policy;
    private final Journal journal;
    private final Clock clock;
    /** Ids of the messages with a reserved place; kept until completion and, if due, the client's notification. */
    private final Set<String> reserved = new HashSet<>();

    private boolean restored;
    private long nextUndeliveredLogAt = Long.MIN_VALUE;

    MessageOrder(PolicySettings settings, PolicyFacade policy, Journal journal, Clock clock) {
        this.settings = settings;
        this.policy = policy;
        this.journal = journal;
        this.clock = clock;
    }

    /** Returns the message unchanged if its class is ordered, otherwise without its ordering key. */
    ActiveRequest.Message normalize(ActiveRequest.Message message) {
        boolean ordered = message.isOrdered()
                && message.classIndex() >= 0
                && settings.classes().get(message.classIndex()).ordered();
        return ordered ? message : message.withOrderKey("");
    }

    /**
     * Reserves the places of all unfinished messages of an earlier process, and starts the rest period of every key,
     * because attempts of that process may have ended only just now. Must be called before any request is submitted to
     * the policy; further calls have no effect.
     */
    void restore() {
        if (restored) {
            return;
        }
        restored = true;
        if (journal.isEmpty()) {
            return;
        }
        policy.startKeyRestPeriods(clock.now());
        Map<String, String> unsettled = journal.unsettledOrderKeys();
        unsettled.forEach((id, orderKey) -> policy.reserve(clock.now(), id, orderKey));
        reserved.addAll(unsettled.keySet());
        if (!unsettled.isEmpty()) {
            LOG.info(
                    "order.restored",
                    field("keys", new HashSet<>(unsettled.values()).size()),
                    field("requests", unsettled.size()),
                    field("rest_ms", settings.keyRestNs() / Clock.MILLISECOND_NS));
        }
    }

    /** Reserves the place of an accepted duplicate, which is not submitted to the policy. */
    void reserve(ActiveRequest.Message message) {
        if (message.isOrdered()) {
            reserved.add(message.id());
            policy.reserve(clock.now(), message.id(), message.orderKey());
        }
    }

    /**
     * A message has reached its final outcome.
     *
     * @param acknowledged whether the client must be notified of the outcome if it is a rejection or a failure
     */
    void completed(ActiveRequest.Message message, FinalOutcome outcome, boolean acknowledged) {
        if (!message.isOrdered()) {
            return;
        }
        if (outcome.needsNotification()) {
            logUndelivered(message, outcome);
        }
        if (acknowledged && outcome.needsNotification()) {
            reserved.add(message.id());
        } else {
            reserved.remove(message.id());
            policy.settle(clock.now(), message.id());
        }
    }

    /**
     * The client of a message has been notified of its outcome, which releases the place of the message.
     *
     * @return whether a place was reserved, so that the next message of the ordering key may be attempted
     */
    boolean notified(String id) {
        boolean released = reserved.remove(id);
        if (released) {
            policy.settle(clock.now(), id);
        }
        return released;
    }

    private void logUndelivered(ActiveRequest.Message message, FinalOutcome outcome) {
        long now = clock.now();
        if (now < nextUndeliveredLogAt) {
            return;
        }
        nextUndeliveredLogAt = now + RequestLog.SUMMARY_INTERVAL_NS;
        OrderedKeyView key = policy.orderedKey(now, message.id());
        LOG.info(
                "order.request_undelivered",
                field("id", message.id()),
                field("order_key", message.orderKey()),
                field("outcome", outcome.kind()),
                field("key_first", key.first()),
                field("key_hold", key.hold()),
                field("key_requests", key.unsettled()));
    }

    /** Appends the metrics of the ordering keys if any class is ordered; each name starts with {@code prefix}. */
    void appendMetrics(String prefix, List<String> lines) {
        if (settings.classes().stream().noneMatch(messageClass -> messageClass.ordered())) {
            return;
        }
        OrderedKeyCounts counts = policy.orderedKeys(clock.now());
        lines.add(prefix + "order.keys=" + counts.keys());
        lines.add(prefix + "order.keys_in_flight=" + counts.inFlight());
        lines.add(prefix + "order.keys_resting=" + counts.resting());
        lines.add(prefix + "order.requests=" + counts.unsettled());
    }
}
