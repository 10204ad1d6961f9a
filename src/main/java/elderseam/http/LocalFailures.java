package elderseam.http;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.net.BindException;
import java.util.List;

/**
 * Distinguishes connect failures that this machine caused from those that the network or the remote side caused, and
 * counts and logs the former, at most once per second. Confined to the I/O thread.
 */
final class LocalFailures {
    private static final EventLogger LOG = EventLogger.of(LocalFailures.class);

    private static final long LOG_INTERVAL_NS = 1_000 * Clock.MILLISECOND_NS;

    /**
     * The messages of strerror(3) for EMFILE, ENFILE, ENOBUFS, ENOMEM and EAGAIN. The JDK does not report the error
     * code in any other way.
     */
    private static final List<String> MESSAGES = List.of(
            "Too many open files",
            "No buffer space available",
            "Cannot allocate memory",
            "Resource temporarily unavailable");

    private final LogThrottle throttle;
    private long count;

    LocalFailures(Clock clock) {
        throttle = new LogThrottle(clock, LOG_INTERVAL_NS);
    }

    /** Whether a connect failed because a resource of this machine was exhausted, see socket(2) and connect(2). */
    static boolean isLocal(IOException failure) {
        if (failure instanceof BindException) { // EADDRNOTAVAIL: no free local port
            return true;
        }
        String message = String.valueOf(failure.getMessage());
        return MESSAGES.stream().anyMatch(message::contains);
    }

    /** Counts and logs a connect failure that this machine caused. */
    void record(IOException failure) {
        count++;
        if (throttle.tryLog()) {
            LOG.warn("http.connect_failed_locally", field("count", count), error(failure));
        }
    }
}
