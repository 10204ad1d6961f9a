package elderseam.frontend.platform;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.FinalOutcome;
import elderseam.core.RequestDispatcher;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.EndpointExchange;
import elderseam.http.HttpRequest;
import elderseam.http.HttpResult;
import elderseam.http.IoLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Notifies the platform of final outcomes, in batches, earliest deadline first. Notifications are sent again until the
 * platform answers with HTTP status 204.
 *
 * <p>As long as the platform answers at once, one call is in flight at a time, and takes what has come meanwhile. A call that
 * stays unanswered holds up nothing but its own notifications: those that come after it are sent in further calls. Calls in
 * flight never carry two notifications of one request, so its outcomes arrive in their order. A request has at most one
 * unacknowledged notification, so the limit on requests in flight also limits the notifications. Confined to the I/O thread.
 */
final class NotificationSender {
    private static final int MAX_NOTIFICATIONS_PER_CALL = 200;
    private static final int MAX_CALLS_IN_FLIGHT = 4;
    private static final long ANSWER_TIMEOUT_NS = 800 * Clock.MILLISECOND_NS;
    private static final long RETRY_INTERVAL_NS = 100 * Clock.MILLISECOND_NS;

    /** A further call is sent only when the latest one has been unanswered for so long. */
    private static final long OVERTAKE_AFTER_NS = 50 * Clock.MILLISECOND_NS;

    private static final int ACKNOWLEDGED_STATUS = 204;

    /** A notification: the deadline and id of its request, and its line in the body of a call. Ordered by deadline. */
    private record Notification(long deadline, String requestId, String line) implements Comparable<Notification> {
        @Override
        public int compareTo(Notification other) {
            return deadline != other.deadline
                    ? Long.compare(deadline, other.deadline)
                    : requestId.compareTo(other.requestId);
        }
    }

    /** A call in flight. */
    private static final class Call {
        final List<Notification> notifications;
        final long startedAt;
        EndpointExchange exchange;
        boolean isReplaced; // its notifications are sent elsewhere at once

        Call(List<Notification> notifications, long startedAt) {
            this.notifications = notifications;
            this.startedAt = startedAt;
        }
    }

    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private final RequestDispatcher dispatcher;
    private final Map<String, Notification> byRequestId = new HashMap<>(); // all that are not yet acknowledged
    private final TreeSet<Notification> waiting = new TreeSet<>(); // those that no call in flight carries
    private final Set<String> carriedRequestIds =
            new HashSet<>(); // requests whose notification a call in flight carries
    private final Deque<Call> calls = new ArrayDeque<>(); // in flight, the latest last
    private EndpointAddress platform;
    private boolean suspended;
    private boolean sendScheduled;
    private int scheduleGeneration; // a scheduled send of an earlier generation is ignored

    NotificationSender(
            IoLoop io, EndpointConnectionPool connections, EndpointAddress platform, RequestDispatcher dispatcher) {
        this.io = io;
        this.connections = connections;
        this.platform = platform;
        this.dispatcher = dispatcher;
    }

    /** Adds a notification for the next {@link #flush}. Replaces an earlier notification of the same request. */
    void add(ActiveRequest.Message message, FinalOutcome outcome) {
        Notification added = new Notification(message.deadline(), message.id(), encodeLine(message.id(), outcome));
        Notification replaced = byRequestId.put(message.id(), added);
        if (replaced != null) {
            waiting.remove(replaced);
        }
        waiting.add(added);
    }

    private static String encodeLine(String requestId, FinalOutcome outcome) {
        if (outcome.kind() == FinalOutcome.Kind.REJECTED) {
            long retryAfterMs = outcome.retryAfterNs() / Clock.MILLISECOND_NS;
            return "{\"id\":\"" + requestId + "\",\"status\":\"deferred\",\"again_ms\":" + retryAfterMs + "}\n";
        }
        return "{\"id\":\"" + requestId + "\",\"status\":\"undeliverable\"}\n";
    }

    /**
     * Starts to send the added notifications, unless suspended or already sending. The outcomes of one turn are sent
     * together in one call.
     */
    void flush() {
        if (suspended || sendScheduled) {
            return;
        }
        if (calls.isEmpty()) {
            send();
        } else if (calls.size() < MAX_CALLS_IN_FLIGHT && hasSendable()) {
            scheduleSend(calls.getLast().startedAt + OVERTAKE_AFTER_NS);
        }
    }

    /** Stops starting new calls, because another process sends notifications. */
    void suspend() {
        suspended = true;
    }

    /** Resumes sending notifications after {@link #suspend}. */
    void resume() {
        suspended = false;
        flush();
    }

    /** Changes the platform's address. If sending, immediately sends the unacknowledged notifications there. */
    void changeAddress(EndpointAddress newAddress) {
        if (newAddress.equals(platform)) {
            return;
        }
        connections.closeIdle(platform);
        platform = newAddress;
        boolean sending = sendScheduled || !calls.isEmpty();
        for (Call call : List.copyOf(calls)) {
            call.isReplaced = true;
            call.exchange.cancel();
        }
        if (sending) {
            send();
        }
    }

    /** The number of notifications that are not yet acknowledged. */
    int unacknowledgedCount() {
        return byRequestId.size();
    }

    private boolean hasSendable() {
        return waiting.stream().anyMatch(notification -> !carriedRequestIds.contains(notification.requestId));
    }

    /** Sends at that time what is waiting then, unless it is sent before. */
    private void scheduleSend(long at) {
        sendScheduled = true;
        scheduleGeneration++;
        int generation = scheduleGeneration;
        io.at(at, () -> {
            if (generation == scheduleGeneration) {
                send();
            }
        });
    }

    /** Sends the waiting notifications with the earliest deadlines in one call, and cancels a scheduled send. */
    private void send() {
        sendScheduled = false;
        scheduleGeneration++;
        if (suspended || calls.size() >= MAX_CALLS_IN_FLIGHT) {
            return;
        }
        List<Notification> sent = takeSendable();
        if (sent.isEmpty()) {
            return;
        }
        Call call = new Call(sent, io.clock.now());
        calls.add(call);
        long deadline = call.startedAt + ANSWER_TIMEOUT_NS;
        call.exchange = connections.send(platform, request(sent), deadline, deadline, result -> onResult(call, result));
    }

    /** Removes the notifications for one call from {@link #waiting}. */
    private List<Notification> takeSendable() {
        List<Notification> taken = new ArrayList<>();
        Iterator<Notification> notifications = waiting.iterator();
        while (notifications.hasNext() && taken.size() < MAX_NOTIFICATIONS_PER_CALL) {
            Notification notification = notifications.next();
            if (carriedRequestIds.add(notification.requestId)) {
                taken.add(notification);
                notifications.remove();
            }
        }
        return taken;
    }

    private static HttpRequest request(List<Notification> notifications) {
        StringBuilder lines = new StringBuilder();
        notifications.forEach(notification -> lines.append(notification.line));
        return new HttpRequest("POST", "/status", Map.of(), lines.toString().getBytes(StandardCharsets.UTF_8));
    }

    private void onResult(Call call, HttpResult result) {
        calls.remove(call);
        call.notifications.forEach(notification -> carriedRequestIds.remove(notification.requestId));
        boolean acknowledged = result.answered() && result.code() == ACKNOWLEDGED_STATUS;
        call.notifications.forEach(acknowledged ? this::onAcknowledged : this::sendAgain);
        if (call.isReplaced) {
            return;
        }
        if (acknowledged) {
            send();
        } else if (!byRequestId.isEmpty()) {
            scheduleSend(io.clock.now() + RETRY_INTERVAL_NS);
        }
    }

    /** Removes an acknowledged notification, unless another has replaced it while its call was in flight. */
    private void onAcknowledged(Notification sent) {
        if (byRequestId.remove(sent.requestId, sent)) {
            waiting.remove(sent); // added once more meanwhile
            dispatcher.markNotified(sent.requestId);
        }
    }

    /** Lets a notification wait again, unless another has replaced it while its call was in flight. */
    private void sendAgain(Notification sent) {
        if (sent.equals(byRequestId.get(sent.requestId))) {
            waiting.add(sent);
        }
    }
}
