package elderseam.testkit.ordering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * All that clients, endpoints and the platform saw of the messages of one run. Times are nanoseconds of
 * {@link System#nanoTime}. Thread-safe.
 */
final class OrderHistory {
    /** A time that has not come. */
    static final long NEVER = Long.MAX_VALUE;

    /** One call of a message at an endpoint. */
    static final class Call {
        final String messageId;
        final int breaker;
        final long start;
        long end = NEVER;
        /** What ended it; null while it is open. */
        CallEnd how;

        Call(String messageId, int breaker, long start) {
            this.messageId = messageId;
            this.breaker = breaker;
            this.start = start;
        }
    }

    /** A wait that binds the endpoints of a circuit breaker. */
    record Wait(int breaker, AnswerFault fault, long start, long end) {}

    /** How a call ended. */
    enum CallEnd {
        /** The endpoint answered 200. */
        DELIVERED(true),
        /** The endpoint answered that it did nothing. */
        REFUSED(false),
        /** The endpoint answered that it failed. */
        FAILED(true),
        /** The connection ended, from either side, before an answer. */
        BROKEN(true);

        /** Whether the message may have run. */
        final boolean mayHaveRun;

        CallEnd(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    /** One message of a key, as its client handed it in. */
    static final class Message {
        final String id;
        final String key;
        final long deadline;
        final TrialClass messageClass;
        /** Whether its client heard that it is accepted. */
        boolean accepted;

        long notifiedAt = NEVER;
        /** When the platform got its first notification, whenever it answered that. */
        long notificationAt = NEVER;

        final List<Call> calls = new ArrayList<>();

        Message(String id, String key, TrialClass messageClass, long deadline) {
            this.id = id;
            this.key = key;
            this.messageClass = messageClass;
            this.deadline = deadline;
        }

        /** When it was delivered, or its notification came. */
        long endedAt() {
            return Math.min(overAt(), notificationAt);
        }

        /** When it was over: delivered, or its notification answered. */
        long overAt() {
            long over = notifiedAt;
            for (Call call : calls) {
                if (call.how == CallEnd.DELIVERED) {
                    over = Math.min(over, call.end);
                }
            }
            return over;
        }
    }

    private final Map<String, Message> byId = new HashMap<>();
    private final Map<String, List<Message>> byKey = new HashMap<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<Wait> waits = new ArrayList<>();
    private final List<String> anomalies = new ArrayList<>();

    /** A client is about to hand in a message; those of one key come in their order. */
    synchronized void handedIn(String id, String key, TrialClass messageClass, long deadline) {
        Message message = new Message(id, key, messageClass, deadline);
        byId.put(id, message);
        byKey.computeIfAbsent(key, absent -> new ArrayList<>()).add(message);
    }

    /** The message's client was answered that it is accepted. */
    synchronized void accepted(String id) {
        byId.get(id).accepted = true;
    }

    /** The last byte of a call has come to an endpoint with that circuit breaker. */
    synchronized Call callBegan(String id, int breaker) {
        Call call = new Call(id, breaker, System.nanoTime());
        calls.add(call);
        Message message = byId.get(id);
        if (message == null) {
            anomalies.add("a call with an id that no client used: " + id);
        } else {
            message.calls.add(call);
        }
        return call;
    }

    /** A call ended: its answer is about to be written, or its connection is gone. */
    synchronized void callEnded(Call call, CallEnd how) {
        call.end = System.nanoTime();
        call.how = how;
    }

    /** An endpoint with that circuit breaker has written that it asks for a wait from now on. */
    synchronized void waitBegan(int breaker, int waitMs, AnswerFault fault) {
        long now = System.nanoTime();
        waits.add(new Wait(breaker, fault, now, now + TimeUnit.MILLISECONDS.toNanos(waitMs)));
    }

    /** All calls, in the order of their beginning; read once nothing is added any more. */
    synchronized List<Call> calls() {
        return List.copyOf(calls);
    }

    /** All waits, in the order of their beginning; read once nothing is added any more. */
    synchronized List<Wait> waits() {
        return List.copyOf(waits);
    }

    /** A notification of the message has come to the platform. */
    synchronized void notificationCame(String id) {
        Message message = byId.get(id);
        if (message != null) {
            message.notificationAt = Math.min(message.notificationAt, System.nanoTime());
        }
    }

    /** A notification of the message is about to be answered. */
    synchronized void notified(String id) {
        Message message = byId.get(id);
        if (message != null) {
            message.notifiedAt = Math.min(message.notifiedAt, System.nanoTime());
        }
    }

    /** Whether each accepted message is over. */
    synchronized boolean isSettled() {
        return byId.values().stream().allMatch(message -> !message.accepted || message.overAt() != NEVER);
    }

    /** What can't be: such as a call that no client asked for. */
    synchronized List<String> anomalies() {
        return List.copyOf(anomalies);
    }

    /** The messages of each key in the order in which they were handed in; read once nothing is added any more. */
    synchronized Map<String, List<Message>> messagesByKey() {
        return Map.copyOf(byKey);
    }
}
