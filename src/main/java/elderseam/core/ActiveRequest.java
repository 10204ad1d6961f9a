package elderseam.core;

/** A request in flight: its message and the state of its attempts. Confined to the event-loop thread. */
public final class ActiveRequest {
    /**
     * Time before a request's deadline that is reserved for notifying its client, so that the notification is in time
     * even when the event-loop thread stalls.
     */
    static final long NOTIFICATION_RESERVE_NS = 80 * Clock.MILLISECOND_NS;

    /**
     * A message as decoded by its frontend. Times are nanoseconds of {@link Clock#now}. The body must not be modified.
     *
     * @param id identifies the message and its stored final outcome
     * @param frontend number of the frontend that must notify the client of the final outcome
     * @param classIndex index of the message class in the settings; negative only until the admission rules have set
     *     it
     * @param tenantIndex index of the tenant in the settings, or -1 for none
     * @param destination number of the destination; negative only until the admission rules have set it
     * @param deadline when the client stops waiting
     * @param rememberUntil when the stored final outcome expires
     * @param resubmitted whether the client has submitted the message before
     * @param retriesWithinKeyWindow whether the client retries after a rejection only while endpoints still
     *     deduplicate the retry; stored and handed over, but no decision depends on it
     * @param idempotencyKey the client's idempotency key, forwarded without interpretation; may be empty
     * @param body the payload, forwarded without interpretation
     * @param deduplicationKey set by an operator's rule: messages with the same key are treated as one message; starts
     *     with the name of the rule's key scheme and a colon; empty for none
     * @param orderKey the ordering key: messages of an ordered class with the same key are attempted one at a time, in
     *     the order of their acceptance; empty for none
     */
    public record Message(
            String id,
            byte frontend,
            int classIndex,
            int tenantIndex,
            long destination,
            long deadline,
            long rememberUntil,
            boolean resubmitted,
            boolean retriesWithinKeyWindow,
            String idempotencyKey,
            byte[] body,
            String deduplicationKey,
            String orderKey) {
        private static final byte[] NO_BODY = {};

        /** A message without a deduplication key and without an ordering key. */
        public Message(
                String id,
                byte frontend,
                int classIndex,
                int tenantIndex,
                long destination,
                long deadline,
                long rememberUntil,
                boolean resubmitted,
                boolean retriesWithinKeyWindow,
                String idempotencyKey,
                byte[] body) {
            this(
                    id,
                    frontend,
                    classIndex,
                    tenantIndex,
                    destination,
                    deadline,
                    rememberUntil,
                    resubmitted,
                    retriesWithinKeyWindow,
                    idempotencyKey,
                    body,
                    "",
                    "");
        }

        /** Returns this message with the given ordering key, or without one if the key is empty. */
        public Message withOrderKey(String newOrderKey) {
            return newOrderKey.equals(orderKey)
                    ? this
                    : copy(deadline, idempotencyKey, body, deduplicationKey, newOrderKey);
        }

        /** Returns this message with the given deadline. */
        Message withDeadline(long newDeadline) {
            return copy(newDeadline, idempotencyKey, body, deduplicationKey, orderKey);
        }

        /** Returns this message as a duplicate of the first request; a duplicate is never sent, so it has no body. */
        Message asDuplicate(String deduplicationKeyOfFirst) {
            return copy(deadline, "", NO_BODY, deduplicationKeyOfFirst, orderKey);
        }

        /** Returns this message without its body. */
        Message withoutBody() {
            return copy(deadline, idempotencyKey, NO_BODY, deduplicationKey, orderKey);
        }

        private Message copy(
                long newDeadline,
                String newIdempotencyKey,
                byte[] newBody,
                String newDeduplicationKey,
                String newOrderKey) {
            return new Message(
                    id,
                    frontend,
                    classIndex,
                    tenantIndex,
                    destination,
                    newDeadline,
                    rememberUntil,
                    resubmitted,
                    retriesWithinKeyWindow,
                    newIdempotencyKey,
                    newBody,
                    newDeduplicationKey,
                    newOrderKey);
        }

        /** Whether the message has an ordering key, so that it must keep its place among messages with that key. */
        boolean isOrdered() {
            return !orderKey.isEmpty();
        }

        /** Whether an operator's rule has set a deduplication key. */
        boolean hasDeduplicationKey() {
            return !deduplicationKey.isEmpty();
        }

        /** The latest time at which the outcome must be known for the client to be notified before the deadline. */
        long latestOutcome(long now) {
            long remaining = deadline - now;
            return deadline - Math.min(NOTIFICATION_RESERVE_NS, Math.max(0, remaining / 2));
        }
    }

    /** The message, which never changes during the request. */
    public final Message message;

    /** Number of attempts begun so far, by this process and by earlier ones. */
    int attempts;

    /** Whether an endpoint may have executed one of the attempts. */
    boolean mayHaveRun;

    /** If {@link #mayHaveRun}: until when endpoints deduplicate a retry, for a class with idempotency keys. */
    long deduplicatedUntil;

    /** If {@link #mayHaveRun}: the name of the zone of the first attempt that may have run; empty if unknown. */
    String mayHaveRunZone = "";

    /** The attempt in flight, or null. */
    EndpointCall inFlightCall;

    /** The latest attempt, or null before the first. */
    AttemptTracker.ActiveAttempt lastAttempt;

    /** The final outcome, or null while there is none. */
    FinalOutcome outcome;

    /** Whether the client has been informed of the acceptance, and so must be notified of the outcome. */
    boolean acknowledged;

    /** Whether the body of a completed request was dropped to save memory, so that it can't be attempted again. */
    private boolean bodyReleased;

    ActiveRequest(Message message) {
        this.message = message;
    }

    /** Returns this completed request without the body of its message. */
    ActiveRequest withoutBody() {
        ActiveRequest released = new ActiveRequest(message.withoutBody());
        released.attempts = attempts;
        released.mayHaveRun = mayHaveRun;
        released.deduplicatedUntil = deduplicatedUntil;
        released.mayHaveRunZone = mayHaveRunZone;
        released.outcome = outcome;
        released.acknowledged = acknowledged;
        released.bodyReleased = true;
        return released;
    }

    /** Whether the body of the completed request was dropped. */
    boolean isBodyReleased() {
        return bodyReleased;
    }

    /** Returns this request, as restored from an earlier process, with its deadline limited to {@code latest}. */
    ActiveRequest withDeadlineUntil(long latest) {
        if (message.deadline() <= latest) {
            return this;
        }
        ActiveRequest bounded = new ActiveRequest(message.withDeadline(latest));
        bounded.attempts = attempts;
        bounded.mayHaveRun = mayHaveRun;
        bounded.deduplicatedUntil = deduplicatedUntil;
        bounded.mayHaveRunZone = mayHaveRunZone;
        return bounded;
    }

    /** The message's id. */
    public String id() {
        return message.id();
    }
}
