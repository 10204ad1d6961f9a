package elderseam.http;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.net.BindException;
import java.util.List;

/**
 * Tells connects that failed on this machine from those that the other side refused, and logs them, once a second at
 * most. Confined to the I/O thread.
 */
final class LocalFailures {
    private static final EventLogger LOG = EventLogger.of(LocalFailures.class);

    private static final long LOG_INTERVAL_NS = 1_000 * Clock.MILLISECOND_NS;

    /** As strerror(3) names EMFILE, ENFILE, ENOBUFS, ENOMEM and EAGAIN; the JDK has no other sign of them. */
    private static final List<String> MESSAGES = List.of(
            "Too many open files",
            "No buffer space available",
            "Cannot allocate memory",
            "Resource temporarily unavailable");

    private final Clock clock;
    private long count;
    private long nextLogNs = Long.MIN_VALUE;

    LocalFailures(Clock clock) {
        this.clock = clock;
    }

    /** Whether a connect failed for want of something on this machine (socket(2), connect(2)). */
    static boolean isLocal(IOException failure) {
        if (failure instanceof BindException) { // EADDRNOTAVAIL: no free port
            return true;
        }
        String message = String.valueOf(failure.getMessage());
        return MESSAGES.stream().anyMatch(message::contains);
    }

    /** A connect has failed on this machine. */
    void occurred(IOException failure) {
        count++;
        long now = clock.now();
        if (now >= nextLogNs) {
            nextLogNs = now + LOG_INTERVAL_NS;
            LOG.warn("http.connect_failed_locally", field("count", count), error(failure));
        }
    }
}
