package elderseam.core;

import java.util.function.IntSupplier;

/**
 * Submits the unfinished requests of an earlier process in batches, and reports readiness once. Confined to the
 * event-loop thread.
 */
final class RecoveryRunner {
    /** Interval of the checks whether the last notifications have been sent. */
    private static final long POLL_INTERVAL_NS = 5 * Clock.MILLISECOND_NS;

    private final RequestDispatcher dispatcher;
    private final RecoverySchedule schedule;
    private final Clock clock;
    private final EventLoop loop;
    private final IntSupplier unsentNotifications;
    private final Runnable onReady;
    private boolean readyReported;

    RecoveryRunner(
            RequestDispatcher dispatcher,
            RecoverySchedule schedule,
            Clock clock,
            EventLoop loop,
            IntSupplier unsentNotifications,
            Runnable onReady) {
        this.dispatcher = dispatcher;
        this.schedule = schedule;
        this.clock = clock;
        this.loop = loop;
        this.unsentNotifications = unsentNotifications;
        this.onReady = onReady;
    }

    /** Submits the first batch and schedules the others. */
    void start() {
        loop.at(schedule.readinessDeadline(), this::reportReady);
        submitNextBatch();
    }

    private void submitNextBatch() {
        dispatcher.flushNotifications();
        if (loop.isStalled()) {
            loop.afterReading(this::submitNextBatch);
            return;
        }
        long start = clock.now();
        dispatcher.resubmit(schedule.nextBatch());
        schedule.recordBatchDuration(clock.now() - start);
        if (schedule.isReady(clock.now(), unsentNotifications.getAsInt())) {
            reportReady();
        }
        boolean allSubmitted = schedule.stage() == RecoverySchedule.Stage.DONE;
        dispatcher.setRecovering(!allSubmitted || !readyReported);
        if (!allSubmitted) {
            loop.afterReading(this::submitNextBatch);
        } else if (!readyReported) { // wait until the notifications have been sent
            loop.at(clock.now() + POLL_INTERVAL_NS, this::submitNextBatch);
        }
    }

    private void reportReady() {
        if (!readyReported) {
            readyReported = true;
            onReady.run();
        }
    }
}
