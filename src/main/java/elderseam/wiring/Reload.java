package elderseam.wiring;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.function.Consumer;

/**
 * Reads the configuration again on SIGHUP, on the signal's own thread. A file that can't be used changes nothing.
 * Without a handler the JVM ends on this signal; sun.misc.Signal is the only one there is, and by reflection since
 * the compiler warns of it however it is told not to.
 */
final class Reload {
    /** Reads all that there is to read, or fails: what applies it, whole, on the thread that owns things. */
    interface Reading {
        Runnable read() throws IOException;
    }

    private static final int MOST_FAULTS = 20;

    private Reload() {}

    /** {@code use} is given what applies each reading that could be made. */
    static void onHangUp(Reading reading, Consumer<Runnable> use) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal"), handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler read = (proxy, method, args) -> {
                if (method.getName().equals("handle")) {
                    read(reading, use);
                }
                return null;
            };
            signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance("HUP"),
                    Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, read));
        } catch (ReflectiveOperationException e) {
            System.err.println("no reload on SIGHUP: " + e);
        }
    }

    /** One at a time: each signal has a thread of its own. */
    private static synchronized void read(Reading reading, Consumer<Runnable> use) {
        try {
            use.accept(reading.read());
        } catch (IOException | RuntimeException e) {
            String.valueOf(e.getMessage()).lines().limit(MOST_FAULTS).forEach(fault ->
                    System.err.println("configuration kept, the new one can't be used: " + fault));
        }
    }
}
