package elderseam.testkit.emulator;

import elderseam.core.AttemptListener;
import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.EndpointCall;
import elderseam.testkit.emulator.WorldListener.ClientRequest;
import java.util.HashMap;
import java.util.Map;

/** Connections and what travels on them: delays, losses, resets, late answers. One for the world. */
final class EmulatedNetwork {
    private static final long MS = 1_000_000;
    private static final long LISTENS_NS = 1_000 * MS; // for the late answer of a call that was given up

    private final VirtualTime time;
    private final Scenario.Network plan;
    private final WorldListener watcher;
    private final long seed;
    private final Map<String, Long> idleUntil =
            new HashMap<>(); // by dispatcher and endpoint: one idle connection stands for many

    EmulatedNetwork(VirtualTime time, Scenario.Network plan, WorldListener watcher, long seed) {
        this.time = time;
        this.plan = plan;
        this.watcher = watcher;
        this.seed = seed;
    }

    private long delay(String id, int attempt, int what) {
        return (long) (MS * (plan.delayMs() + plan.jitterMs() * RandomStreams.unit(seed, id, attempt, what)));
    }

    /** One call; {@code alive}: whether the process that made it still lives. */
    Call call(
            int dispatcher,
            java.util.function.BooleanSupplier alive,
            ClientRequest m,
            int number,
            EmulatedDestination to,
            int endpoint,
            long connectBy,
            long answerBy,
            AttemptListener attempt) {
        return new Call(dispatcher, alive, m, number, to, endpoint, connectBy, answerBy, attempt);
    }

    final class Call implements EndpointCall {
        private final int dispatcher;
        private final int number;
        private final int endpoint;
        private final java.util.function.BooleanSupplier alive;
        private final ClientRequest m;
        private final EmulatedDestination to;
        private final long answerBy;
        private final AttemptListener attempt;
        private final String name;
        private Progress progress = Progress.NOT_CONNECTED;
        private boolean over;
        private boolean left;

        private Call(
                int dispatcher,
                java.util.function.BooleanSupplier alive,
                ClientRequest m,
                int number,
                EmulatedDestination to,
                int endpoint,
                long connectBy,
                long answerBy,
                AttemptListener attempt) {
            this.dispatcher = dispatcher;
            this.alive = alive;
            this.m = m;
            this.number = number;
            this.to = to;
            this.endpoint = endpoint;
            this.answerBy = answerBy;
            this.attempt = attempt;
            this.name = to == null ? "nobody" : to.endpoints[endpoint];
            String pair = dispatcher + name;
            boolean idle = to != null && idleUntil.getOrDefault(pair, -1L) >= time.now();
            long connect = idle
                    ? 0
                    : to == null
                            ? EmulatedDestination.NEVER
                            : (long) (to.kind.connectMs() * MS) + 2 * delay(m.id(), number, 11);
            if (time.now() + connect > connectBy) {
                time.at(
                        Math.max(time.now(), connectBy),
                        () -> ends(AttemptOutcome.unanswered(Progress.NOT_CONNECTED, Status.TIMED_OUT)));
            } else {
                time.at(time.now() + connect, this::leave);
            }
            if (to != null && !idle) {
                watcher.connectionOpened(time.now(), dispatcher, name, time.now() + connect + to.kind.idleMs() * MS);
            }
            if (to != null) {
                idleUntil.put(pair, time.now() + connect + to.kind.idleMs() * MS);
            }
        }

        private void leave() {
            if (over || !alive.getAsBoolean()) {
                return;
            }
            if (!attempt.maySend()) {
                ends(AttemptOutcome.unanswered(Progress.NOT_CONNECTED, Status.NOT_STARTED));
                return;
            }
            watcher.attemptSent(time.now(), dispatcher, m, name);
            left = true;
            boolean lost = plan.lossShare() > 0 && RandomStreams.unit(seed, m.id(), number, 13) < plan.lossShare();
            boolean after = lost && RandomStreams.unit(seed, m.id(), number, 14) < 0.5;
            long way = delay(m.id(), number, 15);
            if (lost && !after) {
                time.at(
                        time.now() + way,
                        () -> ends(AttemptOutcome.unanswered(Progress.PARTLY_WRITTEN, Status.BROKEN)));
                return;
            }
            EmulatedDestination.Reply r = to.call(time.now() + way, endpoint, m, number);
            progress = r.progress() == Progress.NOT_CONNECTED ? Progress.NOT_CONNECTED : Progress.WRITTEN;
            if (r.executedAfterNanos().isPresent()) {
                time.at(time.now() + way + r.executedAfterNanos().getAsLong(), () -> watcher.executed(time.now(), m));
            }
            long back = r.afterNanos() >= EmulatedDestination.NEVER
                    ? EmulatedDestination.NEVER
                    : time.now() + way + r.afterNanos() + delay(m.id(), number, 16);
            if (lost) {
                time.at(
                        Math.min(answerBy, back),
                        () -> ends(AttemptOutcome.unanswered(Progress.WRITTEN, Status.BROKEN)));
            } else if (back > answerBy) {
                time.at(
                        Math.max(time.now(), answerBy),
                        () -> ends(AttemptOutcome.unanswered(progress, Status.TIMED_OUT)));
            }
            if (!lost && back < answerBy + LISTENS_NS) {
                time.at(back, () -> answered(r));
            }
        }

        private void answered(EmulatedDestination.Reply r) {
            AttemptOutcome end =
                    new AttemptOutcome(r.progress(), r.status(), r.retryAfterNanos(), r.headroom(), r.limitPerSecond());
            if (!alive.getAsBoolean()) {
                return;
            }
            if (r.retryAfterNanos() > 0) {
                watcher.retryAfterReceived(time.now(), dispatcher, to.id, time.now() + r.retryAfterNanos());
            }
            if (!over) {
                ends(end);
            } else if (r.progress() == Progress.ANSWERED) {
                attempt.answeredLate(end);
            }
        }

        private void ends(AttemptOutcome end) {
            if (!over && alive.getAsBoolean()) {
                over = true;
                if (left) {
                    watcher.attemptEnded(time.now(), dispatcher, m, name, end);
                }
                attempt.ended(end);
            }
        }

        @Override
        public void cancel() {
            ends(AttemptOutcome.unanswered(progress, Status.ABANDONED));
        }
    }
}
