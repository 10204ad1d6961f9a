package elderseam.app;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Reads the configuration again on SIGHUP, on the signal's own thread. A file that can't be used changes nothing.
 *
 * <p>Without a handler the JVM ends on this signal. {@code sun.misc.Signal} is the only API for one, and is used by
 * reflection since the compiler's warning of it can't be suppressed. Where SIGHUP was ignored when the process was
 * started (as by nohup and some supervisors) the JVM keeps it so whatever handler is installed, and no signal ever
 * arrives: then the files are polled instead, and a change of one counts as the signal.
 */
final class ReloadTrigger {
    private static final EventLogger LOG = EventLogger.of(ReloadTrigger.class);

    /** Reads a configuration. */
    interface Reader {
        /** Reads all there is to read; the result applies it, and is run on the thread that owns what it changes. */
        Runnable read() throws IOException;
    }

    /** What changes with a file. */
    private record FileStamp(Object modified, long bytes, String key) {
        static Optional<FileStamp> of(Path file) {
            try {
                BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
                return Optional.of(new FileStamp(
                        attributes.lastModifiedTime(), attributes.size(), String.valueOf(attributes.fileKey())));
            } catch (IOException e) {
                return Optional.empty(); // there is no such file now
            }
        }
    }

    private static final int MAX_LOGGED_FAULTS = 20;
    private static final long POLL_INTERVAL_NS = 500 * Clock.MILLISECOND_NS;

    private ReloadTrigger() {}

    /**
     * Installs the handler.
     *
     * @param applier runs what applies a configuration that could be read
     * @param files those that the reader reads
     */
    static void install(Reader reader, Consumer<Runnable> applier, List<Path> files) {
        try {
            if (!handleHangUp(reader, applier)) {
                LOG.warn("reload.signal_ignored", field("poll_interval_ms", POLL_INTERVAL_NS / Clock.MILLISECOND_NS));
                Thread poller = new Thread(() -> poll(reader, applier, files), "reload");
                poller.setDaemon(true);
                poller.start();
            }
        } catch (ReflectiveOperationException e) {
            LOG.warn("reload.unavailable", error(e));
        }
    }

    /**
     * Installs a handler for SIGHUP; false where the signal was ignored at the start, and the handler is never called.
     */
    private static boolean handleHangUp(Reader reader, Consumer<Runnable> applier) throws ReflectiveOperationException {
        Class<?> signalType = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        InvocationHandler onCall = (proxy, method, args) -> {
            if (method.getName().equals("handle")) {
                reload(reader, applier);
            }
            return null;
        };
        Object handler = Proxy.newProxyInstance(handlerType.getClassLoader(), new Class<?>[] {handlerType}, onCall);
        Object hangUp = signalType.getConstructor(String.class).newInstance("HUP");
        Object previous =
                signalType.getMethod("handle", signalType, handlerType).invoke(null, hangUp, handler);
        return previous != handlerType.getField("SIG_IGN").get(null);
    }

    /** Never returns. A file that is half written can't be used, and will have changed again by the next look. */
    private static void poll(Reader reader, Consumer<Runnable> applier, List<Path> files) {
        List<Optional<FileStamp>> known = stamps(files);
        while (true) {
            LockSupport.parkNanos(POLL_INTERVAL_NS);
            List<Optional<FileStamp>> current = stamps(files);
            if (!current.equals(known)) {
                known = current;
                reload(reader, applier);
            }
        }
    }

    private static List<Optional<FileStamp>> stamps(List<Path> files) {
        List<Optional<FileStamp>> stamps = new ArrayList<>();
        for (Path file : files) {
            stamps.add(FileStamp.of(file));
        }
        return stamps;
    }

    /** One at a time: each signal has a thread of its own. */
    private static synchronized void reload(Reader reader, Consumer<Runnable> applier) {
        try {
            applier.accept(reader.read());
        } catch (IOException | RuntimeException e) { // whatever is wrong with the new one, the old one stays
            String.valueOf(e.getMessage())
                    .lines()
                    .limit(MAX_LOGGED_FAULTS)
                    .forEach(fault -> LOG.warn("reload.rejected", field("fault", fault)));
        }
    }
}
