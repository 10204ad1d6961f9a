package elderseam.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs the policy's turns: ticks its clock, has its decisions executed and sets the timer for its next tick. Confined
 * to the event-loop thread; a turn that is asked for within a turn is part of that one.
 */
final class DecisionLoop {
    private final DecisionExecutor executor;
    private final PolicyFacade policy;
    private final Clock clock;
    private final EventLoop loop;
    private boolean running;
    private boolean scheduled;
    private long timerDue = Long.MAX_VALUE;

    DecisionLoop(DecisionExecutor executor, PolicyFacade policy, Clock clock, EventLoop loop) {
        this.executor = executor;
        this.policy = policy;
        this.clock = clock;
        this.loop = loop;
    }

    /** Runs a turn now; after a stall of the event loop only once everything that had arrived is read. */
    void run() {
        if (running || executor.isSuspended()) {
            return;
        }
        if (loop.isStalled()) {
            runSoon();
            return;
        }
        running = true;
        do { // the next tick is known only after the decisions, which may ask for one and do nothing else
            policy.tick(clock.now());
            for (List<PolicyDecision> rest = completeRequests(); !rest.isEmpty(); rest = completeRequests()) {
                executor.executeAll(rest);
            }
        } while (policy.nextTick() <= clock.now());
        running = false;
        scheduleTick(policy.nextTick());
    }

    /** Runs one turn soon, however often it is asked for until then. */
    void runSoon() {
        if (!scheduled) {
            scheduled = true;
            loop.at(clock.now(), () -> {
                scheduled = false;
                run();
            });
        }
    }

    /** Runs a turn after a suspension; timers that came due meanwhile did nothing. */
    void restart() {
        timerDue = Long.MAX_VALUE;
        run();
    }

    /**
     * Executes the next decisions that complete requests: nothing that begins may delay an outcome. Returns the
     * others.
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
            if (due == timerDue) { // one that an earlier tick has replaced must not set a timer of its own
                timerDue = Long.MAX_VALUE;
                run();
            }
        });
    }
}
