package elderseam.testkit.ordering;

import java.util.concurrent.TimeUnit;

/** Logs when this process itself, whose threads play clients and endpoints, was not scheduled in time. */
final class ObserverStalls implements AutoCloseable {
    private static final long INTERVAL_MS = 5;
    private static final long LOGGED_STALL_MS = 40;

    private final ProcessLog log;
    private final Thread thread;

    ObserverStalls(ProcessLog log) {
        this.log = log;
        this.thread = new Thread(this::watch, "ordering-observer-stalls");
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        try {
            while (true) {
                long before = System.nanoTime();
                Thread.sleep(INTERVAL_MS);
                long lateMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before) - INTERVAL_MS;
                if (lateMs >= LOGGED_STALL_MS) {
                    log.append("observer.stalled duration_ms=" + lateMs);
                }
            }
        } catch (InterruptedException e) {
            // the run is over
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
