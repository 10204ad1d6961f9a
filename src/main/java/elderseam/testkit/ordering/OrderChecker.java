package elderseam.testkit.ordering;

import elderseam.testkit.ordering.OrderHistory.Call;
import elderseam.testkit.ordering.OrderHistory.CallEnd;
import elderseam.testkit.ordering.OrderHistory.Message;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Checks a finished history: the messages of an ordering key are called one at a time in the order in which they were handed in, a
 * message that ended by a notification is over once that is answered, a key rests after a call of unknown end, no accepted
 * message is lost, and none that may have run is sent again. A message without order has a key of its own: its calls don't overlap. A message
 * whose client was not told that it is accepted counts for nothing.
 */
final class OrderChecker {
    private static final long MILLISECOND_NS = 1_000_000;
    /** How late after its deadline a message may end. */
    private static final long LATENESS_NS = 300 * MILLISECOND_NS;

    /** How much later than a new call another thread of an endpoint may notice that the dispatcher closed the last one. */
    private static final long CLOSE_OBSERVATION_NS = 50 * MILLISECOND_NS;

    /** Besides, how long a machine that has other work may keep the dispatcher or this test from running. */
    private static final long BUSY_MACHINE_NS = 500 * MILLISECOND_NS;

    private final long keyRestNs;
    private final RestartWindows restarts;
    private final long origin;
    private final List<String> violations = new ArrayList<>();
    private final Set<String> offendingMessages = new LinkedHashSet<>();

    /**
     * @param keyRestNs how long a key rests after a call of unknown end
     * @param restarts in which no message is overdue
     * @param origin the time that reports count from
     */
    OrderChecker(long keyRestNs, RestartWindows restarts, long origin) {
        this.keyRestNs = keyRestNs;
        this.restarts = restarts;
        this.origin = origin;
    }

    /** All violations of a history, the first of each key first. */
    List<String> check(OrderHistory history) {
        violations.addAll(history.anomalies());
        history.messagesByKey().values().forEach(this::checkKey);
        return violations;
    }

    /** The ids of the messages that broke a rule in {@link #check}, and of those that they met. */
    Set<String> offendingMessages() {
        return offendingMessages;
    }

    private void checkKey(List<Message> handedIn) {
        List<Message> accepted =
                handedIn.stream().filter(message -> message.accepted).toList();
        for (int i = 0; i < accepted.size(); i++) {
            Message message = accepted.get(i);
            checkEnd(message);
            for (Call call : message.calls) {
                accepted.subList(0, i).forEach(earlier -> checkBefore(earlier, message, call));
                accepted.forEach(other -> checkAlone(other, message, call));
            }
        }
    }

    private void checkBefore(Message earlier, Message message, Call call) {
        if (earlier.overAt() > call.start) {
            offendingMessages.add(earlier.id);
            report("out of turn", message, call.start, earlier.id + " of " + state(earlier) + " was not over");
        }
    }

    private void checkAlone(Message other, Message message, Call call) {
        for (Call before : other.calls) {
            if (before == call || before.start > call.start) {
                continue;
            }
            boolean ordered = message.messageClass.isOrdered();
            if (before.end - closeObservationNs(before, ordered) > call.start) {
                offendingMessages.add(other.id);
                report("overlap", message, call.start, other.id + " was still called");
            } else if (ordered && before.how == CallEnd.BROKEN && call.start - before.end < keyRestNs) {
                long restedMs = (call.start - before.end) / MILLISECOND_NS;
                offendingMessages.add(other.id);
                report("not rested", message, call.start, restedMs + " ms after " + other.id + " broke off");
            }
        }
    }

    /** The next call of an ordering key begins only after a rest, so that a close is always noticed before. */
    private static long closeObservationNs(Call call, boolean ordered) {
        return !ordered && call.how == CallEnd.BROKEN ? CLOSE_OBSERVATION_NS : 0;
    }

    private void checkEnd(Message message) {
        if (message.endedAt() > restarts.overdueAt(message.deadline + LATENESS_NS) + BUSY_MACHINE_NS) {
            report("lost", message, message.deadline, "no end in time: " + state(message));
        }
        long mayHaveRun = message.calls.stream()
                .filter(call -> call.how == null || call.how.mayHaveRun)
                .count();
        if (message.messageClass.isOnce() && mayHaveRun > 1) {
            report("duplicate", message, message.calls.get(1).start, "sent again after it may have run");
        }
    }

    private String state(Message message) {
        StringBuilder text = new StringBuilder();
        message.calls.forEach(call -> text.append(seconds(call.start))
                .append(' ')
                .append(call.how)
                .append(' ')
                .append(seconds(call.end))
                .append("; "));
        return text.append("over ").append(seconds(message.overAt())).toString();
    }

    private String seconds(long time) {
        return time == OrderHistory.NEVER ? "never" : String.format(Locale.ROOT, "%.3f", (time - origin) / 1e9);
    }

    private void report(String rule, Message message, long time, String detail) {
        offendingMessages.add(message.id);
        violations.add(
                rule + " at " + seconds(time) + " s: key " + message.key + ", message " + message.id + ": " + detail);
    }
}
