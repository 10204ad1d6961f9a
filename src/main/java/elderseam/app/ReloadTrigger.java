package elderseam.app;

import elderseam.core.Clock;
import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Reads the configuration again on SIGHUP, on the signal's own thread. A file that can't be used changes nothing.
 * Without a handler the JVM ends on this signal; sun.misc.Signal is the only one there is, and by reflection since
 * the compiler warns of it however it is told not to. Where whoever started the process has SIGHUP ignored (nohup does, and
 * some supervisors), the JVM leaves it so whatever handler it is given, and no signal ever comes: then the files are looked at
 * instead, and a change of one counts as the signal.
 */
final class ReloadTrigger {
    /** Reads all that there is to read, or fails: what applies it, whole, on the thread that owns things. */
    interface Reading {
        Runnable read() throws IOException;
    }

    private static final int MOST_FAULTS = 20;
    private static final long LOOK_NS = 500 * Clock.MS;

    private ReloadTrigger() {}

    /** {@code use} is given what applies each reading that could be made; {@code files} are those that a reading reads. */
    static void onHangUp(Reading reading, Consumer<Runnable> use, List<Path> files) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal"), handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler read = (proxy, method, args) -> {
                if (method.getName().equals("handle")) {
                    read(reading, use);
                }
                return null;
            };
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance("HUP"),
                            Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, read));
            if (before == handler.getField("SIG_IGN").get(null)) {
                System.err.println("SIGHUP is ignored by whoever started this: its files are looked at instead");
                Thread looking = new Thread(() -> look(reading, use, files), "reload");
                looking.setDaemon(true);
                looking.start();
            }
        } catch (ReflectiveOperationException e) {
            System.err.println("no reload on SIGHUP: " + e);
        }
    }

    private static void look(Reading reading, Consumer<Runnable> use, List<Path> files) {
        List<Object> seen = marks(files);
        while (true) {
            LockSupport.parkNanos(LOOK_NS);
            List<Object> now = marks(files);
            if (!now.equals(seen)) { // one that is half written can't be used, and has changed again by the next look
                seen = now;
                read(reading, use);
            }
        }
    }

    /** What changes with a file: its time, its length and which file it is; nothing where there is none. */
    private static List<Object> marks(List<Path> files) {
        List<Object> marks = new ArrayList<>();
        for (Path file : files) {
            try {
                BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
                marks.addAll(List.of(a.lastModifiedTime(), a.size(), String.valueOf(a.fileKey())));
            } catch (IOException e) {
                marks.add("none");
            }
        }
        return marks;
    }

    /** One at a time: each signal has a thread of its own. */
    private static synchronized void read(Reading reading, Consumer<Runnable> use) {
        try {
            use.accept(reading.read());
        } catch (IOException | RuntimeException e) {
            String.valueOf(e.getMessage())
                    .lines()
                    .limit(MOST_FAULTS)
                    .forEach(fault -> System.err.println("configuration kept, the new one can't be used: " + fault));
        }
    }
}
