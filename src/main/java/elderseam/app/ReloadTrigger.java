package elderseam.app;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.logging.EventLogger;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.concurrent.locks.LockSupport;

/**
 * Has the configuration read again on SIGHUP, on the signal's own thread.
 *
 * <p>Without a handler the JVM ends on this signal. {@code sun.misc.Signal} is the only API for one, and is used by
 * reflection since the compiler's warning of it can't be suppressed. Where SIGHUP was ignored when the process was
 * started (as by nohup and some supervisors) the JVM keeps it so whatever handler is installed, and no signal ever
 * arrives: then the files are polled instead, and a change of one counts as the signal.
 */
final class ReloadTrigger {
    private static final EventLogger LOG = EventLogger.of(ReloadTrigger.class);

    private static final long POLL_INTERVAL_NS = 500 * Clock.MILLISECOND_NS;

    private ReloadTrigger() {}

    /**
     * Installs the handler.
     *
     * @param reload reads the configuration again; called on any thread
     * @param files those that are polled, before they were read
     */
    static void install(Runnable reload, FileStamps files) {
        try {
            if (!handleHangUp(reload)) {
                LOG.warn("reload.signal_ignored", field("poll_interval_ms", POLL_INTERVAL_NS / Clock.MILLISECOND_NS));
                Thread poller = new Thread(() -> poll(reload, files), "reload");
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
    private static boolean handleHangUp(Runnable reload) throws ReflectiveOperationException {
        Class<?> signalType = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        InvocationHandler onCall = (proxy, method, args) -> {
            if (method.getName().equals("handle")) {
                reload.run();
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
    private static void poll(Runnable reload, FileStamps files) {
        FileStamps known = files;
        while (true) {
            LockSupport.parkNanos(POLL_INTERVAL_NS);
            FileStamps current = known.again();
            if (!current.isUnchangedSince(known)) {
                known = current;
                reload.run();
            }
        }
    }
}
