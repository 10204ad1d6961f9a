package elderseam;

import elderseam.platform.Config;
import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reads the configuration again on SIGHUP, on the signal's own thread. A file that can't be used changes nothing.
 * Without a handler the JVM ends on this signal; sun.misc.Signal is the only one there is, and by reflection since
 * the compiler warns of it however it is told not to.
 */
final class Reload {
    private Reload() {}

    /** {@code use} is given each configuration that could be read. */
    static void onHangUp(Map<String, String> variables, Consumer<Config> use) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal"), handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler read = (proxy, method, args) -> {
                if (method.getName().equals("handle")) {
                    read(variables, use);
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
    private static synchronized void read(Map<String, String> variables, Consumer<Config> use) {
        try {
            use.accept(Config.read(variables));
        } catch (IOException | RuntimeException e) {
            System.err.println("configuration kept, the new one can't be used: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }
}
