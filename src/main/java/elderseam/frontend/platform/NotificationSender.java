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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Notifies the platform of final outcomes, in batches, the earliest deadline first. A batch is repeated until the
 * platform answers 204; one call is in flight at a time. Bounded as the requests in flight are: a request has one
 * notification at most. Confined to the I/O thread.
 */
final class NotificationSender {
    private static final int MAX_NOTIFICATIONS_PER_CALL = 200;
    private static final long ANSWER_TIMEOUT_NS = 800 * Clock.MILLISECOND_NS;
    private static final long RETRY_INTERVAL_NS = 100 * Clock.MILLISECOND_NS;
    private static final int ACKNOWLEDGED_STATUS = 204;

    /** One notification: the deadline of its request and its line of a call's body. In the order of deadlines. */
    private record Notification(long deadline, String requestId, String line) implements Comparable<Notification> {
        @Override
        public int compareTo(Notification other) {
            return deadline != other.deadline
                    ? Long.compare(deadline, other.deadline)
                    : requestId.compareTo(other.requestId);
        }
    }

    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private final RequestDispatcher dispatcher;
    private final Map<String, Notification> byRequestId = new HashMap<>(); // not yet acknowledged
    private final TreeSet<Notification> byDeadline = new TreeSet<>(); // the same
    private EndpointAddress platform;
    private boolean suspended;
    private boolean sending; // a call is in flight, or scheduled
    private EndpointExchange latestCall; // null before the first
    private int latestCallNumber;

    NotificationSender(
            IoLoop io, EndpointConnectionPool connections, EndpointAddress platform, RequestDispatcher dispatcher) {
        this.io = io;
        this.connections = connections;
        this.platform = platform;
        this.dispatcher = dispatcher;
    }

    /** Adds the notification of a request, to be sent by the next {@link #flush}; replaces an earlier one of its. */
    void add(ActiveRequest.Message message, FinalOutcome outcome) {
        Notification added = new Notification(message.deadline(), message.id(), line(message.id(), outcome));
        Notification replaced = byRequestId.put(message.id(), added);
        if (replaced != null) {
            byDeadline.remove(replaced);
        }
        byDeadline.add(added);
    }

    private static String line(String requestId, FinalOutcome outcome) {
        if (outcome.kind() == FinalOutcome.Kind.REJECTED) {
            long retryAfterMs = outcome.retryAfterNs() / Clock.MILLISECOND_NS;
            return "{\"id\":\"" + requestId + "\",\"status\":\"deferred\",\"again_ms\":" + retryAfterMs + "}\n";
        }
        return "{\"id\":\"" + requestId + "\",\"status\":\"undeliverable\"}\n";
    }

    /** Begins to send what was added; outcomes of one turn go in one call. */
    void flush() {
        if (!suspended && !sending && !byRequestId.isEmpty()) {
            sending = true;
            send();
        }
    }

    /** Begins no further call: another process notifies. */
    void suspend() {
        suspended = true;
    }

    /** Notifies again, after {@link #suspend}. */
    void resume() {
        suspended = false;
        flush();
    }

    /** Calls this address from now on, at once with what is not yet acknowledged. */
    void move(EndpointAddress to) {
        if (to.equals(platform)) {
            return;
        }
        connections.closeIdle(platform);
        platform = to;
        if (sending) {
            send();
        }
    }

    /** How many notifications are not yet acknowledged. */
    int unacknowledged() {
        return byRequestId.size();
    }

    /** Sends the most urgent notifications, in place of the call before. */
    private void send() {
        if (suspended) {
            sending = false;
            return;
        }
        int number = ++latestCallNumber;
        if (latestCall != null) {
            latestCall.cancel();
        }
        List<Notification> sent = new ArrayList<>();
        HttpRequest call = nextCall(sent);
        long deadline = io.clock.now() + ANSWER_TIMEOUT_NS;
        latestCall = connections.send(platform, call, deadline, deadline, result -> {
            if (number == latestCallNumber) {
                onResult(sent, result);
            }
        });
    }

    /** The call for the most urgent notifications, which are added to the list. */
    private HttpRequest nextCall(List<Notification> sent) {
        StringBuilder lines = new StringBuilder();
        Iterator<Notification> notifications = byDeadline.iterator();
        while (notifications.hasNext() && sent.size() < MAX_NOTIFICATIONS_PER_CALL) {
            Notification notification = notifications.next();
            sent.add(notification);
            lines.append(notification.line);
        }
        return new HttpRequest("POST", "/status", Map.of(), lines.toString().getBytes(StandardCharsets.UTF_8));
    }

    private void onResult(List<Notification> sent, HttpResult result) {
        boolean acknowledged = result.answered() && result.code() == ACKNOWLEDGED_STATUS;
        if (acknowledged) {
            sent.forEach(this::onAcknowledged);
        }
        sending = !byRequestId.isEmpty();
        if (sending && acknowledged) {
            send();
        } else if (sending) {
            retryLater();
        }
    }

    /** One that was replaced while its call was in flight is not acknowledged by that call. */
    private void onAcknowledged(Notification sent) {
        if (byRequestId.remove(sent.requestId, sent)) {
            byDeadline.remove(sent);
            dispatcher.markNotified(sent.requestId);
        }
    }

    private void retryLater() {
        int failedCallNumber = latestCallNumber;
        io.at(io.clock.now() + RETRY_INTERVAL_NS, () -> {
            if (latestCallNumber == failedCallNumber) { // else a move has sent them already
                send();
            }
        });
    }
}
