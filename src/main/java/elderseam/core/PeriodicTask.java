package elderseam.core;

import elderseam.logging.EventLogger;
import java.util.function.LongSupplier;

/**
 * Runs a task again and again on an event loop. What a run throws is logged, and the next run comes all the same: a
 * task that schedules itself as its last step would end with the first exception, in silence. Confined to the
 * event-loop thread.
 */
public final class PeriodicTask {
    /** Returned by a task that is not to run again. */
    public static final long NEVER = Long.MAX_VALUE;

    private static final EventLogger LOG = EventLogger.of(PeriodicTask.class);

    private final EventLoop loop;
    private final Clock clock;
    private final long intervalAfterFailureNs;
    private final LongSupplier task;

    private PeriodicTask(EventLoop loop, Clock clock, long intervalAfterFailureNs, LongSupplier task) {
        this.loop = loop;
        this.clock = clock;
        this.intervalAfterFailureNs = intervalAfterFailureNs;
        this.task = task;
    }

    /**
     * Schedules the first run.
     *
     * @param firstNs when it is due, by the clock
     * @param intervalAfterFailureNs when the next run follows one that has thrown, in nanoseconds
     * @param task returns when its next run is due, by the clock, or {@link #NEVER}
     */
    public static void start(
            EventLoop loop, Clock clock, long firstNs, long intervalAfterFailureNs, LongSupplier task) {
        loop.at(firstNs, new PeriodicTask(loop, clock, intervalAfterFailureNs, task)::run);
    }

    private void run() {
        long nextNs;
        try {
            nextNs = task.getAsLong();
        } catch (RuntimeException e) {
            LOG.error("io.periodic_task_failed", e);
            nextNs = clock.now() + intervalAfterFailureNs;
        }
        if (nextNs != NEVER) {
            loop.at(nextNs, this::run);
        }
    }
}
