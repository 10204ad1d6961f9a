package elderseam.core;

import elderseam.logging.EventLogger;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs the policy's turns: advances its clock, has its decisions executed and sets the timer for its next tick.
 * Confined to the event-loop thread. A turn requested during a turn is merged into the current one. After an exception the
 * turn is repeated; if it fails for seconds, or after an error, the event loop is told that this process is of no use.
 */
final class DecisionLoop {
    private static final EventLogger LOG = EventLogger.of(DecisionLoop.class);

    private static final long RETRY_INTERVAL_NS = 100 * Clock.MILLISECOND_NS;
    private static final long MAX_FAILING_NS = 3_000 * Clock.MILLISECOND_NS;
    private static final long NEVER = Long.MIN_VALUE;

    private final DecisionExecutor executor;
    private final PolicyFacade policy;
    private final Clock clock;
    private final EventLoop loop;
    private boolean running;
    private boolean scheduled;
    private long timerDue = Long.MAX_VALUE;
    private long failingSince = NEVER;

    DecisionLoop(DecisionExecutor executor, PolicyFacade policy, Clock clock, EventLoop loop) {
        this.executor = executor;
        this.policy = policy;
        this.clock = clock;
        this.loop = loop;
    }

    /** Runs a turn now or, after a stall of the event loop, once all input that arrived meanwhile has been read. */
    void run() {
        if (running || executor.isSuspended()) {
            return;
        }
        if (loop.isStalled()) {
            runSoon();
            return;
        }
        running = true;
        try {
            runTurns();
            failingSince = NEVER;
        } catch (RuntimeException e) {
            turnFailed(e);
        } catch (Error e) { // whoever requested the turn may catch it, and go on with half of a turn done
            loop.failed(e);
            throw e;
        } finally {
            running = false;
        }
    }

    private void runTurns() {
        do { // the next tick is known only after polling, since a poll may do nothing but schedule one
            policy.tick(clock.now());
            for (List<PolicyDecision> others = completeRequests(); !others.isEmpty(); others = completeRequests()) {
                executor.executeAll(others);
            }
        } while (policy.nextTick() <= clock.now());
        scheduleTick(policy.nextTick());
    }

    private void turnFailed(RuntimeException e) {
        LOG.error("decisions.turn_failed", e);
        long now = clock.now();
        if (failingSince == NEVER) {
            failingSince = now;
        } else if (now - failingSince > MAX_FAILING_NS) {
            loop.failed(e);
        }
        loop.at(now + RETRY_INTERVAL_NS, this::run);
    }

    /** Schedules a turn for the next pass of the event loop; requests made before it runs are merged into one turn. */
    void runSoon() {
        if (!scheduled) {
            scheduled = true;
            loop.at(clock.now(), () -> {
                scheduled = false;
                run();
            });
        }
    }

    /** Runs a turn after a suspension, and sets the timer anew because a timer that fired meanwhile had no effect. */
    void restart() {
        timerDue = Long.MAX_VALUE;
        run();
    }

    /**
     * Polls all pending decisions and executes those that complete requests, so that beginning an attempt never delays
     * a final outcome. Returns the other decisions.
     */
    private List<PolicyDecision> completeRequests() {
        List<PolicyDecision> completions = new ArrayList<>();
        List<PolicyDecision> others = new ArrayList<>();
        for (PolicyDecision next = policy.poll(clock.now()); next != null; next = policy.poll(clock.now())) {
            (next instanceof PolicyDecision.Complete ? completions : others).add(next);
        }
        if (!completions.isEmpty()) {
            completions.forEach(executor::execute);
            executor.flushNotifications();
        }
        return others;
    }

    private void scheduleTick(long due) {
        if (due >= timerDue) {
            return;
        }
        timerDue = due;
        loop.at(due, () -> {
            if (due == timerDue) { // a timer replaced by an earlier one does nothing, or timers would add up
                timerDue = Long.MAX_VALUE;
                run();
            }
        });
    }
}
