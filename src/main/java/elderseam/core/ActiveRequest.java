package elderseam.core;

/** A request in flight: its message and the state of its attempts. Confined to the event-loop thread. */
public final class ActiveRequest {
    /**
     * Part of a request's time that is reserved for notifying its client, so that a stalled thread still notifies in
     * time.
     */
    static final long NOTIFICATION_RESERVE_NS = 80 * Clock.MILLISECOND_NS;

    /**
     * A message as its frontend decoded it. Times are of {@link Clock#now}. Nobody may modify the body.
     *
     * @param id identity under which the final outcome is remembered
     * @param frontend number of the frontend that owes the client the final outcome
     * @param classIndex index of the message class in the settings; below 0 only until the admission rules have set
     *     it
     * @param tenantIndex index of the tenant in the settings, or -1 for none
     * @param destination number of the destination; below 0 only until the admission rules have set it
     * @param deadline when the client stops waiting
     * @param rememberUntil until when the final outcome is remembered
     * @param resubmitted whether the client has submitted it before
     * @param retriesWithinKeyWindow whether a rejected client comes back only while a repeat would still be
     *     deduplicated; stored and handed over, and no decision relies on it
     * @param idempotencyKey the client's key, forwarded unread; may be empty
     * @param body forwarded unread
     * @param deduplicationKey by an operator's rule, messages with the same key are one message; begins with the name
     *     of the rule's key scheme and a colon; empty for none
     * @param orderKey messages of an ordered class with the same key are attempted one at a time, in the order in
     *     which they were accepted; empty for none
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

        /** The same message with that ordering key; an empty one is none. */
        public Message withOrderKey(String newOrderKey) {
            return newOrderKey.equals(orderKey)
                    ? this
                    : copy(deadline, idempotencyKey, body, deduplicationKey, newOrderKey);
        }

        /** The same message with that deadline. */
        Message withDeadline(long newDeadline) {
            return copy(newDeadline, idempotencyKey, body, deduplicationKey, orderKey);
        }

        /** The same message as one that waits for another's outcome: nobody sends it, so it keeps no body. */
        Message asDuplicate(String deduplicationKeyOfFirst) {
            return copy(deadline, "", NO_BODY, deduplicationKeyOfFirst, orderKey);
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

        /** Whether it has to keep its place among the messages of an ordering key. */
        boolean isOrdered() {
            return !orderKey.isEmpty();
        }

        /** Whether an operator's rule gave it a deduplication key. */
        boolean hasDeduplicationKey() {
            return !deduplicationKey.isEmpty();
        }

        /** By when its outcome has to be known at the latest, so that the client is notified before the deadline. */
        long latestOutcome(long now) {
            long remaining = deadline - now;
            return deadline - Math.min(NOTIFICATION_RESERVE_NS, Math.max(0, remaining / 2));
        }
    }

    /** The message, unchanged for the request's whole life. */
    public final Message message;

    /** Attempts begun so far, by this process and by earlier ones. */
    int attempts;

    /** Whether an endpoint may have acted on one of the attempts. */
    boolean mayHaveRun;

    /** With {@link #mayHaveRun}: until when endpoints deduplicate a repeat, for a class with idempotency keys. */
    long deduplicatedUntil;

    /** The attempt in flight, or null. */
    EndpointCall inFlightCall;

    /** The attempt begun last, or null. */
    AttemptTracker.ActiveAttempt lastAttempt;

    /** The final outcome, or null while there is none. */
    FinalOutcome outcome;

    /** Whether its client knows that the request was accepted, and so waits to be notified of the outcome. */
    boolean acknowledged;

    ActiveRequest(Message message) {
        this.message = message;
    }

    /** The same request, not begun in this process, with a deadline no later than that. */
    ActiveRequest withDeadlineUntil(long latest) {
        if (message.deadline() <= latest) {
            return this;
        }
        ActiveRequest bounded = new ActiveRequest(message.withDeadline(latest));
        bounded.attempts = attempts;
        bounded.mayHaveRun = mayHaveRun;
        bounded.deduplicatedUntil = deduplicatedUntil;
        return bounded;
    }

    /** The message's id. */
    public String id() {
        return message.id();
    }
}
