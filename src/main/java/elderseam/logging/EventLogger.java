package elderseam.logging;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes log events: one line {@code LEVEL event.name key=value ...} on standard error, written before the call
 * returns. Thread-safe. All but {@link #debug} are for what happens seldom,
 * not for each request.
 */
public final class EventLogger {
    private final Logger logger;

    private EventLogger(Logger logger) {
        this.logger = logger;
    }

    /** The logger of a class, by whose name its level can be set. */
    public static EventLogger of(Class<?> source) {
        return new EventLogger(LoggerFactory.getLogger(source));
    }

    /** Whether {@link #debug} writes anything: a caller on a hot path asks before it builds the fields. */
    public boolean isDebugEnabled() {
        return logger.isDebugEnabled();
    }

    /** Logs what happens to a single request. Off unless the level of the class is set to debug. */
    public void debug(String event, LogField... fields) {
        if (logger.isDebugEnabled()) {
            logger.debug(line(event, fields));
        }
    }

    /** Logs what belongs to ordinary operation. */
    public void info(String event, LogField... fields) {
        if (logger.isInfoEnabled()) {
            logger.info(line(event, fields));
        }
    }

    /** Logs what an operator may have to look at, while the server goes on. */
    public void warn(String event, LogField... fields) {
        if (logger.isWarnEnabled()) {
            logger.warn(line(event, fields));
        }
    }

    /** Logs what ends the server, or that it has lost something. */
    public void error(String event, LogField... fields) {
        if (logger.isErrorEnabled()) {
            logger.error(line(event, fields));
        }
    }

    /** Logs a fault of the program; the stack trace follows the line. */
    public void error(String event, Throwable thrown) {
        if (logger.isErrorEnabled()) {
            logger.error(line(event, LogField.error(thrown)), thrown);
        }
    }

    private static String line(String event, LogField... fields) {
        if (fields.length == 0) {
            return event;
        }
        StringBuilder line = new StringBuilder(event);
        for (LogField field : fields) {
            line.append(' ');
            field.appendTo(line);
        }
        return line.toString();
    }
}
