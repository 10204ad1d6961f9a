package elderseam.core;

import elderseam.logging.EventLogger;
import java.util.function.LongSupplier;

/**
 * Runs a task repeatedly on an event loop. An exception thrown by a run is logged and does not prevent the next run; a
 * task that merely rescheduled itself as its last step would silently stop after the first exception. Confined to the
 * event-loop thread.
 */
public final class PeriodicTask {
    /** Returned by a task that must not run again. */
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
     * @param firstNs the time of the first run, on {@link Clock#now}
     * @param intervalAfterFailureNs the delay of the next run after one that threw an exception, in nanoseconds
     * @param task returns the time of its next run, on {@link Clock#now}, or {@link #NEVER}
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
