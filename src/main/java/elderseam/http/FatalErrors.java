package elderseam.http;

import elderseam.logging.EventLogger;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.xnio.XnioIoThread;

/**
 * Ends the process when it can no longer be relied on: after an {@link Error} that no thread handles, and when the I/O
 * thread ends. What it has accepted is in the journal, so that the next start completes it; a process that goes on with one
 * thread less would report itself ready and do nothing. All methods may be called on any thread.
 */
public final class FatalErrors {
    /** The exit code of such an end, and of the JVM's own end where it runs out of memory. */
    public static final int EXIT_CODE = 3;

    private static final EventLogger LOG = EventLogger.of(FatalErrors.class);

    /** Encoded beforehand, since a log event can't be when memory has run out. */
    private static final byte[] OUT_OF_MEMORY_LINE =
            "ERROR process.fatal_error error=java.lang.OutOfMemoryError\n".getBytes(StandardCharsets.US_ASCII);

    private static final FileOutputStream STANDARD_ERROR = new FileOutputStream(FileDescriptor.err);

    private FatalErrors() {}

    /** Handles what no thread catches from now on. An exception that ends a thread other than the I/O thread is logged. */
    public static void install() {
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> {
            if (e instanceof Error || thread instanceof XnioIoThread) {
                end(e);
            }
            LOG.error("process.thread_failed", e);
        });
    }

    /** Ends the process with {@link #EXIT_CODE} and a line in the log. */
    public static void end(Throwable e) {
        try {
            if (e instanceof OutOfMemoryError) {
                STANDARD_ERROR.write(OUT_OF_MEMORY_LINE);
            } else {
                LOG.error("process.fatal_error", e);
            }
        } catch (IOException | Error unwritable) {
            // the process ends all the same
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
