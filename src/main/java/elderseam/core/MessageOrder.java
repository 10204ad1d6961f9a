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
 * Tells the policy of the places that messages have in their ordering keys where the policy does not hold the message
 * itself: what an earlier process left, duplicates that wait for another message, and messages whose client has yet to be
 * notified. Confined to the event-loop thread.
 */
final class MessageOrder {
    private static final EventLogger LOG = EventLogger.of(MessageOrder.class);

    private final PolicySettings settings;
    private final PolicyFacade policy;
    private final Journal journal;
    private final Clock clock;
    /** Ids of the messages that keep their place until they are over, though the policy does not hold them. */
    private final Set<String> reserved = new HashSet<>();

    private boolean restored;
    private long nextUndeliveredLogAt = Long.MIN_VALUE;

    MessageOrder(PolicySettings settings, PolicyFacade policy, Journal journal, Clock clock) {
        this.settings = settings;
        this.policy = policy;
        this.journal = journal;
        this.clock = clock;
    }

    /** The message with its ordering key where its class keeps the order of its keys; otherwise without one. */
    ActiveRequest.Message normalize(ActiveRequest.Message message) {
        boolean ordered = message.isOrdered()
                && message.classIndex() >= 0
                && settings.classes().get(message.classIndex()).ordered();
        return ordered ? message : message.withOrderKey("");
    }

    /**
     * Reserves the places of all that an earlier process left, and has every key rest, since attempts of that process may
     * have ended just now. To be called before the policy gets any request; once.
     */
    void restore() {
        if (restored) {
            return;
        }
        restored = true;
        if (journal.isEmpty()) {
            return;
        }
        policy.restKeys(clock.now());
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

    /** A message that the policy is not given has been accepted: it waits for the outcome of another. */
    void reserve(ActiveRequest.Message message) {
        if (message.isOrdered()) {
            reserved.add(message.id());
            policy.reserve(clock.now(), message.id(), message.orderKey());
        }
    }

    /** A message has its final outcome; {@code acknowledged}: its client has yet to hear it where it is no delivery. */
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

    /** The client of a message has been notified of its outcome; whether that lets another message go. */
    boolean notified(String id) {
        boolean held = reserved.remove(id);
        if (held) {
            policy.settle(clock.now(), id);
        }
        return held;
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

    /** Appends the metrics of the ordering keys, where there are any; {@code prefix} begins each name. */
    void appendMetrics(String prefix, List<String> lines) {
        if (settings.classes().stream().noneMatch(type -> type.ordered())) {
            return;
        }
        OrderedKeyCounts counts = policy.orderedKeys(clock.now());
        lines.add(prefix + "order.keys=" + counts.keys());
        lines.add(prefix + "order.keys_in_flight=" + counts.inFlight());
        lines.add(prefix + "order.keys_resting=" + counts.resting());
        lines.add(prefix + "order.requests=" + counts.unsettled());
    }
}
