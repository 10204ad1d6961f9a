package elderseam.testkit.ordering;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Writes some answers once more, after a delay, on the connection of the first copy, whatever that carries by then.
 * Thread-safe.
 */
final class CopiedAnswers implements AutoCloseable {
    private final CopyFault fault;
    private final SplittableRandom random;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "copied-answers");
        thread.setDaemon(true);
        return thread;
    });

    /** {@code random}: used by many threads in an order of their own, under this object's lock. */
    CopiedAnswers(CopyFault fault, SplittableRandom random) {
        this.fault = fault;
        this.random = random;
    }

    /** An answer was written: writes it again later, or not. */
    synchronized void answered(HttpConnection connection, String answer) {
        if (random.nextDouble() >= fault.ratio()) {
            return;
        }
        int delayMs = random.nextInt(fault.minDelayMs(), fault.maxDelayMs() + 1);
        String copy = random.nextDouble() < fault.cutRatio()
                ? answer.substring(0, random.nextInt(1, answer.length()))
                : answer;
        ScheduledFuture<?> unused = timer.schedule(() -> write(connection, copy), delayMs, TimeUnit.MILLISECONDS);
    }

    private static void write(HttpConnection connection, String copy) {
        try {
            connection.write(copy);
        } catch (IOException e) {
            // the connection has ended
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
