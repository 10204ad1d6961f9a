package elderseam.core;

import elderseam.policy.AttemptResult;
import elderseam.policy.BreakerView;
import elderseam.policy.CompletedAttempt;
import elderseam.policy.DispatchPolicy;
import elderseam.policy.EndpointCounts;
import elderseam.policy.LimitReport;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.PolicyActions;
import elderseam.policy.PolicyEvents;
import elderseam.policy.PolicyRequest;
import elderseam.policy.PolicySettings;
import elderseam.policy.SnapshotCursor;
import java.util.ArrayDeque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** The module in blocking style: {@link #report} what happened, {@link #tick} the clock, {@link #pick} what to do. */
final class PolicyFacade {
    private record Timer(long at, long token) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer o) {
            return Long.compare(at, o.at);
        }
    }

    private final PolicySettings settings;
    private final DispatchPolicy brain;
    private final Consumer<String> log;
    private final ArrayDeque<PolicyDecision> decisions = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long now;
    private boolean news;

    PolicyFacade(PolicySettings settings, long seed, Consumer<String> log) {
        this.log = log;
        this.settings = settings;
        this.brain = new DispatchPolicy(settings, seed, new Recorder());
    }

    PolicySettings settings() {
        return settings;
    }

    private void at(long time) {
        now = Math.max(now, time);
        news = true;
    }

    void take(long time, ActiveRequest s) {
        at(time);
        if (s.attempts == 0) {
            brain.request(now, message(s));
        } else {
            brain.restored(now, message(s), s.attempts, s.mayHaveRun, s.keyUntil);
        }
    }

    /** A stream's last attempt is still out, at another process. */
    void adopt(long time, ActiveRequest s, String host, long start) {
        at(time);
        brain.adopted(now, s.id(), host, start);
    }

    /** What the module has learned, told or taken over. */
    void carry(long time, SnapshotCursor ledger) {
        at(time);
        brain.transfer(now, ledger);
    }

    /** Whether a message for that destination can be taken on. */
    boolean serves(long time, long destination) {
        now = Math.max(now, time);
        return brain.serves(now, destination);
    }

    private static PolicyRequest message(ActiveRequest s) {
        ActiveRequest.Message m = s.message;
        return new PolicyRequest(
                m.id(), m.cls(), m.tenant(), -1, m.deadline(), m.destination(), m.again(), m.heedsWindow());
    }

    /** An attempt of a stream has ended. {@code over}: nothing more is owed. */
    void report(long time, String id, int attempt, String host, long start, EndpointCall.End end) {
        at(time);
        boolean over = end.status() == EndpointCall.Status.DELIVERED || end.status() == EndpointCall.Status.OVER;
        brain.outcome(
                now,
                new CompletedAttempt(
                        id,
                        attempt,
                        host,
                        result(end),
                        now - start,
                        end.waitNs(),
                        end.status() == EndpointCall.Status.NO_SLOT,
                        over,
                        new LimitReport(end.shareLeft(), end.limitPerS())));
    }

    private static AttemptResult result(EndpointCall.End end) {
        return switch (end.status()) {
            case DELIVERED -> AttemptResult.DELIVERED;
            case ERROR -> AttemptResult.ERROR;
            case FULL -> AttemptResult.FULL;
            case NO_SLOT, SPENT, OVER, HELD -> AttemptResult.NOT_SENT;
            case BROKEN -> end.mayHaveRun() ? AttemptResult.RESET : AttemptResult.CONNECT_FAILED;
            case TIMED_OUT -> end.mayHaveRun() ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED;
            case ABANDONED -> end.mayHaveRun() ? AttemptResult.CANCELLED : AttemptResult.CONNECT_FAILED;
        };
    }

    /** The answer of an attempt that had been given up: its wait and its report of a limit count, its end is past. */
    void reportLate(long time, String host, EndpointCall.End end) {
        at(time);
        brain.lateAnswer(now, host, end.waitNs(), new LimitReport(end.shareLeft(), end.limitPerS()));
    }

    /** An answer, though late, says that the stream is done: nothing is to be sent for it any more. */
    void delivered(long time, String id) {
        at(time);
        brain.withdrawn(now, id);
    }

    /** Nothing begins at that host for so long: another dispatcher tries it for the whole fleet. */
    void defer(long time, String host, long ns) {
        at(time);
        brain.lateAnswer(now, host, ns, LimitReport.NONE);
    }

    /** Nobody looked at the network for so long. */
    void away(long time, long ns) {
        at(time);
        brain.unseen(now, ns);
    }

    /** Whether a call of that stream to that host may still begin. */
    boolean mayCall(long time, String id, String host) {
        now = Math.max(now, time);
        return brain.mayStart(now, id, host);
    }

    /** How each destination stands. */
    void breakers(long time, BiConsumer<Long, BreakerView> each) {
        now = Math.max(now, time);
        brain.breakers(now, each);
    }

    /** The list as the module uses it now. */
    EndpointCounts listed(long time) {
        now = Math.max(now, time);
        return brain.endpointCounts(now);
    }

    /** What others say of a destination. */
    void advise(long time, long destination, double doubt, double trying) {
        now = Math.max(now, time);
        brain.advised(now, destination, doubt, trying);
    }

    /** What this dispatcher's part is of what all do, as {@link PolicyEvents#share} has it. */
    void part(long time, int senders, Predicate<String> preferred, double retries) {
        at(time);
        brain.share(now, senders, preferred, retries);
    }

    /** The list of hosts changed, was told whole, or could not be had. */
    void report(long time, ListUpdateKind kind, List<ListedEndpoint> hosts) {
        at(time);
        brain.endpoints(now, kind, hosts);
    }

    /** The process is to end at that time. */
    void closing(long time, long end) {
        at(time);
        brain.closing(now, end);
    }

    /** Moves the clock. */
    void tick(long time) {
        now = Math.max(now, time);
        while (!timers.isEmpty() && timers.peek().at <= now) {
            news = true;
            brain.timer(now, timers.poll().token);
        }
    }

    /** When it wants the next tick. */
    long next() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
    }

    /** The next thing to do now, or null. */
    PolicyDecision pick(long time) {
        now = Math.max(now, time);
        if (decisions.isEmpty() && news) {
            news = false;
            brain.turnEnd(now);
        }
        return decisions.poll();
    }

    private final class Recorder implements PolicyActions {
        @Override
        public void send(String id, String endpoint, long stopAt) {
            decisions.add(new PolicyDecision.Send(id, endpoint, stopAt));
        }

        @Override
        public void cancel(String id, int attempt) {
            decisions.add(new PolicyDecision.Abandon(id, attempt));
        }

        @Override
        public void reject(String id, long retryAfterNs) {
            decisions.add(new PolicyDecision.End(id, FinalOutcome.refused(retryAfterNs)));
        }

        @Override
        public void fail(String id) {
            decisions.add(new PolicyDecision.End(id, FinalOutcome.FAILED));
        }

        @Override
        public void timer(long token, long afterNs) {
            timers.add(new Timer(now + afterNs, token));
        }

        @Override
        public void disconnect(String endpoint) {
            decisions.add(new PolicyDecision.CloseIdle(endpoint));
        }

        @Override
        public void subscribe() {
            decisions.add(new PolicyDecision.Watch());
        }

        @Override
        public void log(String words) {
            log.accept(words);
        }
    }
}
