package elderseam.core;

/**
 * Retries the deferred records of the journal at fixed intervals until all are written. Confined to the event-loop
 * thread.
 */
final class JournalRetry {
    private static final long INTERVAL_NS = 100 * Clock.MILLISECOND_NS;

    private final Journal journal;
    private final Clock clock;
    private final EventLoop loop;
    private boolean scheduled;

    JournalRetry(Journal journal, Clock clock, EventLoop loop) {
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
    }

    /** Starts watching for deferred records; no timer runs while there are none. */
    void start() {
        journal.onRecordsDeferred(this::schedule);
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.at(clock.now() + INTERVAL_NS, this::retry);
        }
    }

    private void retry() {
        scheduled = false;
        if (!journal.writeDeferredRecords()) {
            schedule();
        }
    }
}
